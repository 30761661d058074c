package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/version/zlsync"
)

// placeFormat describes the paths of the settings tree.
const placeFormat = "deployment[/dataCentre[/service[/queryKind]]]"

// loadTree reads the tree from the platform.
func (p *platformFlags) loadTree() (*zlsettings.Tree, error) {
	if err := checkAddress("platform", p.address); err != nil {
		return nil, &usageError{
			text: err.Error(),
		}
	}
	ed, ctx, cancel := p.editor()
	defer cancel()
	r, err := ed.LoadRecord(ctx, &zlsync.Settings)
	if err != nil {
		return nil, err
	}
	return treeOf(r), nil
}

// treeOf returns a record of zlsync.Settings as a tree, an empty one for another record.
func treeOf(r zlhistory.Record) *zlsettings.Tree {
	tree, ok := r.(*zlsettings.Tree)
	if !ok {
		return &zlsettings.Tree{}
	}
	return tree
}

// shownValue is one resolved setting.
type shownValue struct {
	Key   zlsettings.Key `json:"key"`
	Value any            `json:"value"`
	// Origin is the path at which the value is set, empty for the built-in default.
	Origin zlsettings.Path `json:"origin"`
}

func runConfigGet(e *env, args []string) int {
	fs := newFlags(e, "config get", "Show the resolved settings of a place and the origin of each value.")
	var p platformFlags
	p.add(fs)
	at := fs.String("at", "", "`PLACE`: "+placeFormat)
	key := fs.String("key", "", "show only this `KEY`")
	raw := fs.Bool("raw", false, "print the whole tree in the format that config put reads")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	place, ok := zlsettings.ParsePlace(*at)
	if err := checkFormat(*format); err != nil || !ok && !*raw {
		return e.fail(exitUsage, errors.Join(err, fmt.Errorf("flag -at: found %q, allowed is %s", *at, placeFormat)))
	}
	tree, err := p.loadTree()
	if err != nil {
		return e.fail(editExitCode(err), err)
	}
	if *raw {
		e.json(newTreeFile(tree))
		return exitOK
	}
	resolved := tree.Resolve(place)
	var shown []shownValue
	for _, k := range zlsettings.Keys() {
		if *key == "" || string(k) == *key {
			shown = append(shown, shownValue{
				Key:    k,
				Value:  resolved[k].Value,
				Origin: resolved[k].Origin,
			})
		}
	}
	if len(shown) == 0 {
		return e.fail(exitUsage, fmt.Errorf("flag -key: found %q, allowed is one of %v", *key, zlsettings.Keys()))
	}
	showValues(e, *format, shown)
	return exitOK
}

// showValues prints resolved settings.
func showValues(e *env, format string, shown []shownValue) {
	if format == "json" {
		e.json(shown)
		return
	}
	for _, v := range shown {
		origin := string(v.Origin)
		if origin == "" {
			origin = "built-in default"
		}
		e.printf("%-16s %-10v %s\n", v.Key, v.Value, origin)
	}
}

// treeFile is the settings tree in a file. It has no history, but the serial of the tree
// that it was made from, against which config put computes the changes.
type treeFile struct {
	Serial zlunit.Serial                       `json:"serial,omitempty"`
	Nodes  map[zlsettings.Path]zlsettings.Node `json:"nodes"`
}

// newTreeFile returns a tree in the format of a file.
func newTreeFile(t *zlsettings.Tree) *treeFile {
	return &treeFile{
		Serial: t.Serial,
		Nodes:  t.Nodes,
	}
}

// readTreeFile reads and checks a file; the error lists all faults.
func readTreeFile(path string) (*zlsettings.Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f treeFile
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	tree := &zlsettings.Tree{
		Nodes: f.Nodes,
	}
	tree.Serial = f.Serial
	if faults := tree.Check(); len(faults) > 0 {
		return nil, &zlsettings.Error{
			Op:     "check",
			Kind:   zlsettings.KindInvalid,
			Err:    fmt.Errorf("%s: %d faults", path, len(faults)),
			Faults: faults,
		}
	}
	return tree, nil
}

func runConfigSet(e *env, args []string) int {
	fs := newFlags(e, "config set", "Set or unset one value at any level of the tree.")
	var p editFlags
	p.add(fs)
	path := fs.String("path", "", "`PATH`: "+placeFormat+", '*' for any data centre")
	key := fs.String("key", "", "`KEY` of the setting")
	value := fs.String("value", "", "the new `VALUE`")
	unset := fs.Bool("unset", false, "remove the value, so that an outer level or the default applies")
	was := fs.String("was", "", "fail unless this value is set there now; \"-\" for none")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := errors.Join(checkFormat(*format), p.check()); err != nil {
		return e.fail(exitUsage, err)
	}
	if *unset == (*value != "") {
		return e.fail(exitUsage, errors.New("flags -value and -unset: allowed is exactly one of the two"))
	}
	c := zlhistory.Change{
		Path: *path,
		Key:  *key,
	}
	if !*unset {
		c.New = zlsettings.Parse(zlsettings.Key(*key), *value)
	}
	return p.edit(e, &zlsync.Settings, *format, func(_ context.Context, _ *zlsync.Editor, edit *zlsync.Edit) {
		edit.Prepare = func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			c.Old = r.Value(c.Place())
			if err := checkExpected(*was, c); err != nil {
				return nil, 0, err
			}
			return []zlhistory.Change{c}, r.Head().Serial, nil
		}
	})
}

// checkExpected returns an error if the value that is set differs from the flag -was.
func checkExpected(was string, c zlhistory.Change) error {
	var want any
	switch was {
	case "":
		return nil
	case "-":
	default:
		want = zlsettings.Parse(zlsettings.Key(c.Key), was)
	}
	if c.Old != want {
		return fmt.Errorf("the change lost a race, nothing was written:\n  path %q: key %q: expected %s, found %s, wanted %s",
			c.Path, c.Key, zlhistory.Text(want), zlhistory.Text(c.Old), zlhistory.Text(c.New))
	}
	return nil
}

func runConfigPut(e *env, args []string) int {
	fs := newFlags(e, "config put", "Write a whole tree from a file made by `config get -raw`. Changes that others made since then are kept; if they changed the same values, nothing is written.")
	var p editFlags
	p.add(fs)
	path := fs.String("file", "", "`FILE` with the tree in JSON")
	replace := fs.Bool("replace", false, "overwrite the present tree, including changes that others made since then")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := errors.Join(checkFormat(*format), p.check()); err != nil {
		return e.fail(exitUsage, err)
	}
	next, err := readTreeFile(*path)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if next.Serial == 0 && !*replace {
		return e.fail(exitUsage, fmt.Errorf("%s: key \"serial\": found nothing, allowed is the serial of the tree that the file was made from (run `config get -raw` for a new file), or flag -replace", *path))
	}
	return p.edit(e, &zlsync.Settings, *format, func(ctx context.Context, ed *zlsync.Editor, edit *zlsync.Edit) {
		edit.Prepare = func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return preparePut(ctx, ed, r, next, *replace)
		}
	})
}

// preparePut returns the changes of the file against the tree that it was made from, and
// the serial of that tree.
func preparePut(ctx context.Context, ed *zlsync.Editor, r zlhistory.Record, next *zlsettings.Tree, replace bool) ([]zlhistory.Change, zlunit.Serial, error) {
	if replace {
		return zlhistory.Diff(r, next), r.Head().Serial, nil
	}
	base, err := ed.LoadRecord(ctx, &zlsync.Settings)
	if err != nil {
		return nil, 0, err
	}
	if err := zlhistory.Revert(base, next.Serial); err != nil {
		return nil, 0, err
	}
	return zlhistory.Diff(base, next), next.Serial, nil
}

func runConfigDiff(e *env, args []string) int {
	fs := newFlags(e, "config diff", "Show the changes that config put would make with a file. Exit code 1 if there are any.")
	var p platformFlags
	p.add(fs)
	path := fs.String("file", "", "`FILE` with the tree in JSON")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	next, err := readTreeFile(*path)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	tree, err := p.loadTree()
	if err != nil {
		return e.fail(editExitCode(err), err)
	}
	changes := zlhistory.Diff(tree, next)
	if *format == "json" {
		e.json(changes)
	} else {
		showChanges(e, changes)
	}
	if len(changes) > 0 {
		return exitFailed
	}
	return exitOK
}

func runConfigHistory(e *env, args []string) int {
	fs := newFlags(e, "config history", "Show who changed what, when and why, newest last.")
	var p platformFlags
	p.add(fs)
	n := fs.Int("n", 20, "number of changes to show, 0 for all")
	of := fs.String("of", "settings", "history to show, settings or marks")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	target := &zlsync.Settings
	switch *of {
	case "settings":
	case "marks":
		target = &zlsync.Marks
	default:
		return e.fail(exitUsage, fmt.Errorf("flag -of: found %q, allowed is settings or marks", *of))
	}
	if err := errors.Join(checkFormat(*format), checkAddress("platform", p.address)); err != nil {
		return e.fail(exitUsage, err)
	}
	ed, ctx, cancel := p.editor()
	defer cancel()
	log, dropped, err := ed.History(ctx, target)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	if *n > 0 && len(log) > *n {
		log = log[len(log)-*n:]
	}
	if *format == "json" {
		e.json(log)
		return exitOK
	}
	showHistory(e, log, dropped)
	return exitOK
}

// showHistory prints the entries of a history; dropped is the number of older changes that
// are stored no longer.
func showHistory(e *env, log zlhistory.Log, dropped int) {
	for _, entry := range log {
		e.printf("%d  %s  %s: %s\n", entry.Serial, entry.At.UTC().Format("2006-01-02T15:04:05Z"), entry.By, entry.Reason)
		showChanges(e, entry.Changes)
		if entry.Omitted > 0 {
			e.printf("  and %d more\n", entry.Omitted)
		}
	}
	if dropped > 0 {
		e.printf("%d older changes are no longer stored\n", dropped)
	}
}
