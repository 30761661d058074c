package zlsync

import (
	"context"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// Platform is the part of the platform's object API that this package uses.
type Platform interface {
	Get(ctx context.Context, kind zlplatform.ObjectKind, name string) (*zlplatform.Object, error)
	Put(ctx context.Context, kind zlplatform.ObjectKind, name string, ifVersion zlunit.ObjectVersion, value any) (zlunit.ObjectVersion, error)
	Watch(ctx context.Context, kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion, wait time.Duration) (*zlplatform.Listing, error)
}

var _ Platform = (*zlplatform.Client)(nil)

// Target is a record of the platform that operators edit.
type Target struct {
	Kind zlplatform.ObjectKind
	Name string
	// Read decodes the record; no data gives an empty record.
	Read func(data []byte) (zlhistory.Record, error)
	// Check returns an error for a record that must not be written.
	Check func(r zlhistory.Record) error
}

// Settings is the record of the operators' settings tree.
var Settings = Target{
	Kind: zlplatform.ObjectSettings,
	Name: TreeName,
	Read: func(data []byte) (zlhistory.Record, error) {
		return zlsettings.Read(data)
	},
	Check: checkTree,
}

// Marks is the record of operators' marks, which take data centres and upstreams
// out of service.
var Marks = Target{
	Kind: zlplatform.ObjectMarks,
	Name: MarksName,
	Read: func(data []byte) (zlhistory.Record, error) {
		return zlmark.Decode(data)
	},
	Check: func(zlhistory.Record) error {
		return nil
	},
}

// targetOf returns the target that an object holds, or false if it holds none.
func targetOf(kind zlplatform.ObjectKind, name string) (*Target, bool) {
	for _, t := range []*Target{&Settings, &Marks} {
		if t.Kind == kind && t.Name == name {
			return t, true
		}
	}
	return nil, false
}

func checkTree(r zlhistory.Record) error {
	tree, ok := r.(*zlsettings.Tree)
	if !ok {
		return eris.Errorf("record is a %T, want a settings tree", r)
	}
	if faults := tree.Check(); len(faults) > 0 {
		return &zlsettings.Error{
			Op:     "check",
			Kind:   zlsettings.KindInvalid,
			Err:    eris.Errorf("%d faults", len(faults)),
			Faults: faults,
		}
	}
	return nil
}

// load reads a target's record and its version; a record that does not exist is
// empty and has version 0.
func (t *Target) load(ctx context.Context, p Platform) (zlhistory.Record, zlunit.ObjectVersion, error) {
	o, err := p.Get(ctx, t.Kind, t.Name)
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		r, err := t.Read(nil)
		return r, 0, err
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := t.Read(o.Value)
	return r, o.Version, err
}

// LoadRecord reads a record from the platform, without checking it.
func (e *Editor) LoadRecord(ctx context.Context, t *Target) (zlhistory.Record, error) {
	r, _, err := t.load(ctx, e.Platform)
	return r, err
}
