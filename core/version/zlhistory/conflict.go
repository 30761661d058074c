package zlhistory

import (
	"fmt"
	"reflect"
	"strings"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindConflict means that another edit changed the same values first.
	KindConflict Kind = "conflict"
	// KindTooOld means that the history does not reach back far enough.
	KindTooOld Kind = "tooOld"
)

// Error reports an edit that cannot be made.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Conflicts lists the conflicting changes if Kind is KindConflict.
	Conflicts []Conflict
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Conflicts) == 0 {
		return fmt.Sprintf("zlhistory: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := []string{"the change lost a race, nothing was written:"}
	for _, c := range e.Conflicts {
		lines = append(lines, "  "+c.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Conflict is a place that two edits set to different values.
type Conflict struct {
	Mine   Change
	Theirs Change
	// Entry is the entry that contains Theirs.
	Entry Entry
}

// String implements fmt.Stringer. The text is one line.
func (c Conflict) String() string {
	return fmt.Sprintf("path %q: key %q: was %s, wanted %s, but %s set it to %s at %s (serial %d: %s)",
		c.Mine.Path, c.Mine.Key, Text(c.Mine.Old), Text(c.Mine.New), c.Entry.By, Text(c.Theirs.New),
		c.Entry.At.UTC().Format("2006-01-02T15:04:05Z"), c.Entry.Serial, c.Entry.Reason)
}

// Text formats a value for operators; nil is "(not set)".
func Text(value any) string {
	switch v := value.(type) {
	case nil:
		return "(not set)"
	case string:
		return fmt.Sprintf("%q", v)
	default:
		return fmt.Sprint(v)
	}
}

// Conflicts returns the changes of mine whose place theirs set to another value. The last
// change of theirs to a place counts.
func Conflicts(mine []Change, theirs Log) []Conflict {
	var out []Conflict
	for _, m := range mine {
		if c, ok := lastChangeAtPath(m, theirs); ok && !reflect.DeepEqual(c.Theirs.New, m.New) {
			out = append(out, c)
		}
	}
	return out
}

// lastChangeAtPath returns the newest change in theirs to the value that m changes, paired with
// m, and false if there is none. The new values of the two may be equal.
func lastChangeAtPath(m Change, theirs Log) (Conflict, bool) {
	for i := len(theirs) - 1; i >= 0; i-- {
		for _, t := range theirs[i].Changes {
			if t.Place() == m.Place() {
				return Conflict{
					Mine:   m,
					Theirs: t,
					Entry:  theirs[i],
				}, true
			}
		}
	}
	return Conflict{}, false
}

// Rebase checks that mine, which was made on the serial base, can be applied to r: no entry
// since then set the same places to other values. It changes nothing. The error is an
// *Error.
func Rebase(r Record, base zlunit.Serial, mine []Change) error {
	theirs, complete := r.Head().Since(base)
	if !complete {
		return &Error{
			Op:   "rebase",
			Kind: KindTooOld,
			Err:  eris.Errorf("the change was made on serial %d, the record is at serial %d, and the history between them is incomplete: get the newest version and make the change again", base, r.Head().Serial),
		}
	}
	if conflicts := Conflicts(mine, theirs); len(conflicts) > 0 {
		return &Error{
			Op:        "rebase",
			Kind:      KindConflict,
			Err:       eris.New("conflicting changes"),
			Conflicts: conflicts,
		}
	}
	return nil
}

// Revert reverts every change after serial, newest first, and removes the entries. The
// error is an *Error of KindTooOld if the history does not reach back that far.
func Revert(r Record, serial zlunit.Serial) error {
	head := r.Head()
	after, complete := head.Since(serial)
	if !complete {
		return &Error{
			Op:   "rewind",
			Kind: KindTooOld,
			Err:  eris.Errorf("serial %d is not in the history of serial %d", serial, head.Serial),
		}
	}
	for i := len(after) - 1; i >= 0; i-- {
		for _, c := range after[i].Changes {
			c.Old, c.New = c.New, c.Old
			r.Set(c, &after[i])
		}
	}
	head.History = head.History[:len(head.History)-len(after)]
	head.Serial = serial
	return nil
}
