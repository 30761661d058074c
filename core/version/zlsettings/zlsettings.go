// Package zlsettings holds the operators' tree of settings, with the levels deployment, data
// centre, service and query kind, each of which inherits from the one above. It decodes
// and checks a tree and resolves the settings of a query; it neither stores trees nor
// applies settings.
package zlsettings

import (
	"encoding/json"
	"fmt"
	"strings"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindDecode means that the tree is not JSON of the expected form.
	KindDecode Kind = "decode"
	// KindInvalid means that a path, key or value is not allowed.
	KindInvalid Kind = "invalid"
)

// Error reports a tree that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Faults lists all faults of an invalid tree, one line each.
	Faults []string
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return "the settings tree is invalid and is rejected as a whole:\n  " + strings.Join(e.Faults, "\n  ")
	}
	return fmt.Sprintf("zlsettings: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// AnyDataCentre is the part of a path that matches every data centre.
const AnyDataCentre = "*"

// Path identifies a node: deployment[/dataCentre[/service[/queryKind]]].
type Path string

// Node holds the values set at one node, by key.
type Node map[Key]any

// Tree is the whole tree as a flat map from the path of a node to its values.
type Tree struct {
	Nodes map[Path]Node `json:"nodes"`
	zlhistory.Meta
}

// Decode decodes a tree from JSON and checks every path, key and value. The error is an
// *Error; that of an invalid tree lists all faults.
func Decode(data []byte) (*Tree, error) {
	var t Tree
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, &Error{
			Op:   "decode",
			Kind: KindDecode,
			Err:  eris.Wrap(err, "settings tree"),
		}
	}
	if faults := t.Check(); len(faults) > 0 {
		return nil, &Error{
			Op:     "check",
			Kind:   KindInvalid,
			Err:    eris.Errorf("%d faults", len(faults)),
			Faults: faults,
		}
	}
	return &t, nil
}

// Place identifies the position of a query in the tree.
type Place struct {
	Deployment zlunit.Deployment
	DataCentre zlunit.DataCentre
	Service    zlunit.Service
	Kind       zlunit.QueryKind
}

// Paths lists the paths of the nodes that apply at p, from the lowest precedence to the
// highest. On each level the node of the data centre overrides that of any data centre.
func (p Place) Paths() []Path {
	d := string(p.Deployment)
	paths := []Path{Path(d)}
	tail := ""
	for _, level := range []string{"", string(p.Service), string(p.Kind)} {
		if level != "" {
			tail += "/" + level
		}
		paths = append(paths, Path(d+"/"+AnyDataCentre+tail), Path(d+"/"+string(p.DataCentre)+tail))
	}
	return paths
}

// Resolved is a resolved value with its origin.
type Resolved struct {
	Value any `json:"value"`
	// Origin is the path of the node that set the value; empty for a built-in default.
	Origin Path `json:"origin"`
}

// Resolve returns the value of every key at p, with its origin.
func (t *Tree) Resolve(p Place) map[Key]Resolved {
	out := make(map[Key]Resolved, len(specs))
	for key, spec := range specs {
		out[key] = Resolved{
			Value: spec.defaultValue,
		}
	}
	for _, path := range p.Paths() {
		for key, value := range t.Nodes[path] {
			out[key] = Resolved{
				Value:  value,
				Origin: path,
			}
		}
	}
	return out
}

// Policy resolves the tree at p into typed values.
func (t *Tree) Policy(p Place) Policy {
	return newPolicy(t.Resolve(p))
}
