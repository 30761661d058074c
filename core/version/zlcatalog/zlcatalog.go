// Package zlcatalog decodes and checks the catalogue of a service: its upstreams and
// index versions, which the platform keeps in one object per service. It holds no state
// and does not read the platform.
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
	// KindDecode means that the catalogue is not JSON of the expected form.
	KindDecode Kind = "decode"
	// KindInvalid means that the catalogue is decoded but its values are not valid.
	KindInvalid Kind = "invalid"
)

// Error reports a catalogue that cannot be used.
type Error struct {
	// Op is the operation that failed.
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

// Upstream is one replica of the service, with its limits.
type Upstream struct {
	Name       zlunit.Upstream   `json:"name"`
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	Address    string            `json:"address"`
	// Slots is how many sub-requests the upstream runs at once; at least 1.
	Slots zlunit.Slots `json:"slots"`
	// Connections is how many connections the upstream accepts; at least 1.
	Connections zlunit.Connections `json:"connections"`
	// ColdLimit is how many sub-requests it runs at once while it is cold; at least 1.
	ColdLimit zlunit.Slots `json:"coldLimit"`
	// ColdWork is the least number of sub-requests that must succeed at the upstream
	// before its cold start ends; 0 means the default of zladmission, 32.
	ColdWork int `json:"coldWork,omitempty"`
	// ColdMs is the least duration of a cold start in milliseconds; 0 means the
	// default.
	ColdMs int64 `json:"coldMs,omitempty"`
	// Leaving is true if the upstream is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
}

// Version is one index snapshot. Shards holds the names of the replicas of each shard, by
// shard number.
type Version struct {
	Number zlunit.IndexVersion `json:"number"`
	Shards [][]zlunit.Upstream `json:"shards"`
}

// Catalog is the catalogue of one service.
type Catalog struct {
	Service   zlunit.Service `json:"service"`
	Upstreams []Upstream     `json:"upstreams"`
	Versions  []Version      `json:"versions"`
}

// Decode decodes a catalogue from JSON and checks it. The error is an *Error.
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

// check returns the first fault of the catalogue, or nil.
func (c *Catalog) check() error {
	known := make(map[zlunit.Upstream]bool, len(c.Upstreams))
	for _, u := range c.Upstreams {
		if u.Name == "" || u.Address == "" {
			return eris.Errorf("service %q: upstream %q: name or address is missing", c.Service, u.Name)
		}
		if known[u.Name] {
			return eris.Errorf("service %q: upstream %q is listed twice", c.Service, u.Name)
		}
		if u.Slots < 1 || u.Connections < 1 || u.ColdLimit < 1 {
			return eris.Errorf("service %q: upstream %q: slots, connections and coldLimit must be at least 1", c.Service, u.Name)
		}
		if u.ColdWork < 0 || u.ColdMs < 0 {
			return eris.Errorf("service %q: upstream %q: coldWork and coldMs must not be negative", c.Service, u.Name)
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

// checkVersion checks that all replicas of a version are known upstreams.
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
