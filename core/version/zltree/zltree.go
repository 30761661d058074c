// Package zltree holds the operators' tree of settings: deployment, data
// centre, service, query kind, each level inheriting from the one above.
package zltree

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
	KindDecode  Kind = "decode"
	KindInvalid Kind = "invalid"
)

// Error reports a tree that cannot be used. Faults lists all that is wrong.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Faults []string
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Faults) > 0 {
		return "the tree is refused whole:\n  " + strings.Join(e.Faults, "\n  ")
	}
	return fmt.Sprintf("zltree: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// AnyDataCentre stands in a path for every data centre.
const AnyDataCentre = "*"

// Path names a node: deployment[/dataCentre[/service[/queryKind]]].
type Path string

// Node holds the values set at one node, by key.
type Node map[Key]any

// Tree is the whole tree, a flat map from path to the values set there.
type Tree struct {
	Nodes map[Path]Node `json:"nodes"`
	zlhistory.Meta
}

// Decode reads a tree and checks every path, key and value; the error is an
// *Error that lists all faults.
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

// Place is where a query stands in the tree.
type Place struct {
	Deployment zlunit.Deployment
	DataCentre zlunit.DataCentre
	Service    zlunit.Service
	Kind       zlunit.QueryKind
}

// Paths lists the nodes that apply at p, the weakest first.
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

// Resolved is a value and the path that set it; the path is empty for a
// built-in default.
type Resolved struct {
	Value  any  `json:"value"`
	Origin Path `json:"origin"`
}

// Resolve returns every key's value at p and where it came from.
func (t *Tree) Resolve(p Place) map[Key]Resolved {
	out := make(map[Key]Resolved, len(specs))
	for key, spec := range specs {
		out[key] = Resolved{
			Value: spec.fallback,
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
	return policyOf(t.Resolve(p))
}
