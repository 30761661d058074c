package zlmark

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
)

// Subject is the kind of thing that a mark takes out of service.
type Subject string

// The subjects of marks.
const (
	SubjectVM         Subject = "vm"
	SubjectDataCentre Subject = "dc"
	SubjectUpstream   Subject = "upstream"
)

// Subjects lists all subjects in a fixed order.
var Subjects = []Subject{SubjectVM, SubjectDataCentre, SubjectUpstream}

var _ zlhistory.Record = (*Marks)(nil)

// In the history a mark is a value whose path is the subject, whose key is the name and
// which is the reason.

// Value implements zlhistory.Record.
func (m *Marks) Value(p zlhistory.FieldPath) any {
	var mark Mark
	var ok bool
	switch Subject(p.Path) {
	case SubjectVM:
		mark, ok = m.VMs[zlunit.VM(p.Key)]
	case SubjectDataCentre:
		mark, ok = m.DataCentres[zlunit.DataCentre(p.Key)]
	case SubjectUpstream:
		mark, ok = m.Upstreams[zlunit.Upstream(p.Key)]
	}
	if !ok {
		return nil
	}
	return mark.Reason
}

// Places implements zlhistory.Record.
func (m *Marks) Places() []zlhistory.FieldPath {
	out := appendPlaces(nil, SubjectVM, m.VMs)
	out = appendPlaces(out, SubjectDataCentre, m.DataCentres)
	return appendPlaces(out, SubjectUpstream, m.Upstreams)
}

// appendPlaces appends the places of all marks of one subject to out.
func appendPlaces[K ~string](out []zlhistory.FieldPath, s Subject, marks map[K]Mark) []zlhistory.FieldPath {
	for name := range marks {
		out = append(out, zlhistory.FieldPath{
			Path: string(s),
			Key:  string(name),
		})
	}
	return out
}

// Set implements zlhistory.Record.
func (m *Marks) Set(c zlhistory.Change, e *zlhistory.Entry) {
	var mark *Mark
	if reason, ok := c.New.(string); ok {
		mark = &Mark{
			Reason: reason,
			By:     e.By,
			At:     e.At,
		}
	}
	switch Subject(c.Path) {
	case SubjectVM:
		m.VMs = put(m.VMs, zlunit.VM(c.Key), mark)
	case SubjectDataCentre:
		m.DataCentres = put(m.DataCentres, zlunit.DataCentre(c.Key), mark)
	case SubjectUpstream:
		m.Upstreams = put(m.Upstreams, zlunit.Upstream(c.Key), mark)
	}
}

// put sets the mark of a name, or removes it if mark is nil, and returns the map.
func put[K comparable](marks map[K]Mark, name K, mark *Mark) map[K]Mark {
	if mark == nil {
		delete(marks, name)
		return marks
	}
	if marks == nil {
		marks = map[K]Mark{}
	}
	marks[name] = *mark
	return marks
}
