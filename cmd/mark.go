package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/version/zlsync"
)

// markUsage is the usage of mark with its arguments.
const markUsage = `mark vm|dc|upstream NAME in|out -reason TEXT`

func runMark(e *env, args []string) int {
	fs := newFlags(e, markUsage, "Take a VM, a data centre or an upstream out of service, or bring it back.\n`zinnialock mark list` shows what is out of service.")
	var p editFlags
	p.add(fs)
	force := fs.Bool("force", false, "also mark the last one in service, or an unknown name")
	format := formatFlag(fs)
	positional := args
	if i := slices.IndexFunc(args, func(a string) bool { return strings.HasPrefix(a, "-") }); i >= 0 {
		positional = args[:i]
	}
	if code, ok := parse(e, fs, args[len(positional):]); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	if len(positional) == 1 && positional[0] == "list" {
		return listMarks(e, &p.platformFlags, *format)
	}
	m, err := parseMark(positional)
	if err := errors.Join(err, p.check()); err != nil {
		return e.fail(exitUsage, err)
	}
	m.force = *force
	return p.edit(e, m.target(), *format, func(ctx context.Context, ed *zlsync.Editor, edit *zlsync.Edit) {
		edit.Prepare = func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return m.prepare(ctx, ed, r, p.reason)
		}
	})
}

// markRequest is one mark that an operator sets or removes.
type markRequest struct {
	subject zlmark.Subject
	name    string
	// out is true to take the subject out of service, false to bring it back.
	out   bool
	force bool
	// fleet is what the request is checked against; nil until prepare has read it.
	fleet *zlmark.Fleet
}

// parseMark parses the arguments of mark.
func parseMark(words []string) (*markRequest, error) {
	if len(words) != 3 {
		return &markRequest{}, fmt.Errorf("found %q, allowed is %s", strings.Join(words, " "), markUsage)
	}
	m := &markRequest{
		subject: zlmark.Subject(words[0]),
		name:    words[1],
		out:     words[2] == "out",
	}
	var err error
	if !slices.Contains(zlmark.Subjects, m.subject) {
		err = fmt.Errorf("subject: found %q, allowed is one of %v", words[0], zlmark.Subjects)
	}
	if words[2] != "in" && words[2] != "out" {
		err = errors.Join(err, fmt.Errorf("state: found %q, allowed is in or out", words[2]))
	}
	return m, err
}

// target returns zlsync.Marks with the check of this request. The check is repeated when
// another operator marks something at the same time.
func (m *markRequest) target() *zlsync.Target {
	t := zlsync.Marks
	t.Check = func(r zlhistory.Record) error {
		marks, ok := r.(*zlmark.Marks)
		if !ok || !m.out || m.force || m.fleet == nil {
			return nil
		}
		return m.check(marks)
	}
	return &t
}

// check removes the request from a copy of the marks and checks whether it may be added.
func (m *markRequest) check(marks *zlmark.Marks) error {
	data, err := json.Marshal(marks)
	if err != nil {
		return err
	}
	before, err := zlmark.Decode(data)
	if err != nil {
		return err
	}
	before.Set(m.change(""), &zlhistory.Entry{})
	return before.CheckOut(m.fleet, m.subject, m.name)
}

// change returns the request as a change; an empty reason removes the mark.
func (m *markRequest) change(reason string) zlhistory.Change {
	c := zlhistory.Change{
		Path: string(m.subject),
		Key:  m.name,
	}
	if reason != "" {
		c.New = reason
	}
	return c
}

// prepare returns the change and the serial that it is based on. It reads the fleet for the
// check if that is needed.
func (m *markRequest) prepare(ctx context.Context, ed *zlsync.Editor, r zlhistory.Record, reason string) ([]zlhistory.Change, zlunit.Serial, error) {
	if !m.out {
		reason = ""
	}
	c := m.change(reason)
	c.Old = r.Value(c.Place())
	if m.out && !m.force {
		var err error
		if m.fleet, err = readFleet(ctx, ed.Platform); err != nil {
			return nil, 0, err
		}
	}
	return []zlhistory.Change{c}, r.Head().Serial, nil
}

// readFleet reads the catalogues and rosters.
func readFleet(ctx context.Context, p zlsync.Platform) (*zlmark.Fleet, error) {
	l, err := p.Watch(ctx, []zlplatform.ObjectKind{zlplatform.ObjectCatalog, zlplatform.ObjectRoster}, 0, 0)
	if err != nil {
		return nil, err
	}
	f := &zlmark.Fleet{
		Catalogs: map[zlunit.Service]*zlcatalog.Catalog{},
		Rosters:  map[zlunit.DataCentre]zlroster.Roster{},
	}
	for _, o := range l.Objects {
		switch o.Kind {
		case zlplatform.ObjectCatalog:
			c, err := zlcatalog.Decode(o.Value)
			if err != nil {
				return nil, err
			}
			f.Catalogs[c.Service] = c
		case zlplatform.ObjectRoster:
			var r zlroster.Roster
			if err := json.Unmarshal(o.Value, &r); err != nil {
				return nil, err
			}
			f.Rosters[zlunit.DataCentre(o.Name)] = r
		default:
			// No other kinds are requested.
		}
	}
	return f, nil
}

// listMarks prints what is out of service.
func listMarks(e *env, p *platformFlags, format string) int {
	if err := checkAddress("platform", p.address); err != nil {
		return e.fail(exitUsage, err)
	}
	ed, ctx, cancel := p.editor()
	defer cancel()
	r, err := ed.LoadRecord(ctx, &zlsync.Marks)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	marks, ok := r.(*zlmark.Marks)
	if !ok {
		return e.fail(exitFailed, fmt.Errorf("mark list: the platform returned a record of type %T, want marks", r))
	}
	if format == "json" {
		marks.History = nil
		e.json(marks)
		return exitOK
	}
	showMarks(e, zlmark.SubjectDataCentre, marks.DataCentres)
	showMarks(e, zlmark.SubjectVM, marks.VMs)
	showMarks(e, zlmark.SubjectUpstream, marks.Upstreams)
	return exitOK
}

func showMarks[K ~string](e *env, subject zlmark.Subject, marks map[K]zlmark.Mark) {
	var sorted []string
	for name := range marks {
		sorted = append(sorted, string(name))
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		m := marks[K(name)]
		e.printf("%-9s %-24s out since %s by %s: %s\n", subject, name, m.At.UTC().Format("2006-01-02T15:04:05Z"), m.By, m.Reason)
	}
}
