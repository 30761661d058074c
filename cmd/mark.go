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

const markUsage = `mark vm|dc|upstream NAME in|out -reason TEXT`

func runMark(e *env, args []string) int {
	fs := newFlags(e, markUsage, "Take a VM, a data centre or an upstream out of service, or bring it back.\n`zinnialock mark list` shows what is out.")
	var p editFlags
	p.add(fs)
	force := fs.Bool("force", false, "also take out the last one, or a name that nothing has")
	format := formatFlag(fs)
	words := args
	if i := slices.IndexFunc(args, func(a string) bool { return strings.HasPrefix(a, "-") }); i >= 0 {
		words = args[:i]
	}
	if code, ok := parse(e, fs, args[len(words):]); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	if len(words) == 1 && words[0] == "list" {
		return listMarks(e, &p.platformFlags, *format)
	}
	m, err := parseMark(words)
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

// markOrder is one mark that an operator wants.
type markOrder struct {
	subject zlmark.Subject
	name    string
	out     bool
	force   bool
	// fleet is what the order is checked against, once it was read.
	fleet *zlmark.Fleet
}

func parseMark(words []string) (*markOrder, error) {
	if len(words) != 3 {
		return &markOrder{}, fmt.Errorf("found %q, allowed is %s", strings.Join(words, " "), markUsage)
	}
	m := &markOrder{
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

// target is zlsync.Marks with the check of this order, which also holds when
// another operator marked something at the same time.
func (m *markOrder) target() *zlsync.Target {
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

// check looks at the marks as they would be without the order.
func (m *markOrder) check(marks *zlmark.Marks) error {
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

// change returns the order as a change; no reason brings back into service.
func (m *markOrder) change(reason string) zlhistory.Change {
	c := zlhistory.Change{
		Path: string(m.subject),
		Key:  m.name,
	}
	if reason != "" {
		c.New = reason
	}
	return c
}

func (m *markOrder) prepare(ctx context.Context, ed *zlsync.Editor, r zlhistory.Record, reason string) ([]zlhistory.Change, zlunit.Serial, error) {
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
			// The other kinds were not asked for.
		}
	}
	return f, nil
}

func listMarks(e *env, p *platformFlags, format string) int {
	if err := checkAddress("platform", p.address); err != nil {
		return e.fail(exitUsage, err)
	}
	ed, ctx, cancel := p.editor()
	defer cancel()
	r, err := ed.Load(ctx, &zlsync.Marks)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	marks, ok := r.(*zlmark.Marks)
	if !ok {
		return e.fail(exitFailed, fmt.Errorf("found %T, want marks", r))
	}
	if format == "json" {
		marks.History = nil
		e.json(marks)
		return exitDone
	}
	showMarks(e, zlmark.SubjectDataCentre, marks.DataCentres)
	showMarks(e, zlmark.SubjectVM, marks.VMs)
	showMarks(e, zlmark.SubjectUpstream, marks.Upstreams)
	return exitDone
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
