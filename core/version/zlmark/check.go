package zlmark

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"

	"github.com/rotisserie/eris"
)

// Fleet is what a mark is checked against.
type Fleet struct {
	Catalogs map[zlunit.Service]*zlcatalog.Catalog
	Rosters  map[zlunit.DataCentre]zlroster.Roster
}

// CheckOut reports, as an *Error, why name should not be marked out: nothing
// has that name, or it is the last of its kind that serves.
func (m *Marks) CheckOut(f *Fleet, subject Subject, name string) error {
	switch subject {
	case SubjectVM:
		return m.checkVM(f, zlunit.VM(name))
	case SubjectDataCentre:
		return m.checkDataCentre(f, zlunit.DataCentre(name))
	case SubjectUpstream:
		return m.checkUpstream(f, zlunit.Upstream(name))
	}
	return nil
}

func (m *Marks) checkVM(f *Fleet, vm zlunit.VM) error {
	known := false
	left := 0
	for dc, r := range f.Rosters {
		for _, member := range r.Members {
			known = known || member.VM == vm
			if member.VM != vm && !m.VMOut(member.VM, dc) {
				left++
			}
		}
	}
	if !known {
		return unknown(SubjectVM, string(vm))
	}
	if left == 0 {
		return last("VM %q is the last in service", vm)
	}
	return nil
}

func (m *Marks) checkDataCentre(f *Fleet, dc zlunit.DataCentre) error {
	known := map[zlunit.DataCentre]bool{}
	for name := range f.Rosters {
		known[name] = true
	}
	for _, c := range f.Catalogs {
		for _, u := range c.Upstreams {
			known[u.DataCentre] = true
		}
	}
	if !known[dc] {
		return unknown(SubjectDataCentre, string(dc))
	}
	for name := range known {
		if _, out := m.DataCentres[name]; !out && name != dc {
			return m.checkShards(f, func(u zlcatalog.Upstream) bool {
				return u.DataCentre == dc
			})
		}
	}
	return last("data centre %q is the last in service", dc)
}

func (m *Marks) checkUpstream(f *Fleet, name zlunit.Upstream) error {
	for _, c := range f.Catalogs {
		for _, u := range c.Upstreams {
			if u.Name == name {
				return m.checkShards(f, func(u zlcatalog.Upstream) bool {
					return u.Name == name
				})
			}
		}
	}
	return unknown(SubjectUpstream, string(name))
}

// checkShards looks for a shard of a newest index version that would lose its
// last replica in service if those that gone tells were out.
func (m *Marks) checkShards(f *Fleet, gone func(zlcatalog.Upstream) bool) error {
	for service, c := range f.Catalogs {
		if len(c.Versions) == 0 {
			continue
		}
		before := map[zlunit.Upstream]bool{}
		after := map[zlunit.Upstream]bool{}
		for _, u := range c.Upstreams {
			before[u.Name] = !u.Leaving && !m.UpstreamOut(u.Name, u.DataCentre)
			after[u.Name] = before[u.Name] && !gone(u)
		}
		newest := c.Versions[0]
		for _, v := range c.Versions {
			if v.Number > newest.Number {
				newest = v
			}
		}
		for s, replicas := range newest.Shards {
			if anyServes(replicas, before) && !anyServes(replicas, after) {
				return last("service %q: shard %d would have no replica in service", service, s)
			}
		}
	}
	return nil
}

func anyServes(names []zlunit.Upstream, serving map[zlunit.Upstream]bool) bool {
	for _, name := range names {
		if serving[name] {
			return true
		}
	}
	return false
}

func unknown(subject Subject, name string) error {
	return &Error{
		Op:   "check",
		Kind: KindUnknown,
		Err:  eris.Errorf("no %s is named %q", subject, name),
	}
}

func last(format string, args ...any) error {
	return &Error{
		Op:   "check",
		Kind: KindLast,
		Err:  eris.Errorf(format, args...),
	}
}
