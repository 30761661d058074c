// Package zlcatalog describes a service's upstreams and index versions, as the
// platform keeps them in one object per service.
package zlcatalog

import (
	"encoding/json"
	"fmt"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindDecode  Kind = "decode"
	KindInvalid Kind = "invalid"
)

// Error reports a catalogue that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlcatalog: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Upstream is one replica and what it can bear.
type Upstream struct {
	Name        zlunit.Upstream    `json:"name"`
	DataCentre  zlunit.DataCentre  `json:"dataCentre"`
	Address     string             `json:"address"`
	Slots       zlunit.Slots       `json:"slots"`
	Connections zlunit.Connections `json:"connections"`
	ColdLimit   zlunit.Slots       `json:"coldLimit"`
	// ColdWork is how many answers a cold start lasts at least; 0 means the
	// default.
	ColdWork int `json:"coldWork,omitempty"`
	// ColdMs is how long a cold start lasts at least, in milliseconds; 0 means
	// the default.
	ColdMs  int64 `json:"coldMs,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
}

// Version is one index snapshot: for each shard, by number, its replicas.
type Version struct {
	Number zlunit.IndexVersion `json:"number"`
	Shards [][]zlunit.Upstream `json:"shards"`
}

// Catalog describes one service.
type Catalog struct {
	Service   zlunit.Service `json:"service"`
	Upstreams []Upstream     `json:"upstreams"`
	Versions  []Version      `json:"versions"`
}

// Decode reads a catalogue and checks it; the error is an *Error.
func Decode(data []byte) (*Catalog, error) {
	var c Catalog
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, &Error{
			Op:   "decode",
			Kind: KindDecode,
			Err:  eris.Wrap(err, "catalogue"),
		}
	}
	if err := c.check(); err != nil {
		return nil, &Error{
			Op:   "check",
			Kind: KindInvalid,
			Err:  err,
		}
	}
	return &c, nil
}

func (c *Catalog) check() error {
	known := make(map[zlunit.Upstream]bool, len(c.Upstreams))
	for _, u := range c.Upstreams {
		if u.Name == "" || u.Address == "" {
			return eris.Errorf("service %q: upstream %q lacks a name or address", c.Service, u.Name)
		}
		if known[u.Name] {
			return eris.Errorf("service %q: upstream %q stands twice", c.Service, u.Name)
		}
		if u.Slots < 1 || u.Connections < 1 || u.ColdLimit < 1 {
			return eris.Errorf("service %q: upstream %q: slots, connections and coldLimit start at 1", c.Service, u.Name)
		}
		if u.ColdWork < 0 || u.ColdMs < 0 {
			return eris.Errorf("service %q: upstream %q: coldWork and coldMs start at 0", c.Service, u.Name)
		}
		known[u.Name] = true
	}
	for _, v := range c.Versions {
		if err := c.checkVersion(v, known); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) checkVersion(v Version, known map[zlunit.Upstream]bool) error {
	for s, replicas := range v.Shards {
		for _, name := range replicas {
			if !known[name] {
				return eris.Errorf("service %q: version %d: shard %d: unknown upstream %q", c.Service, v.Number, s, name)
			}
		}
	}
	return nil
}
