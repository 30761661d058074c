// Package zlmark holds the operators' marks that take VMs, data centres and
// upstreams out of service.
package zlmark

import (
	"encoding/json"
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindDecode tells that the marks cannot be read.
	KindDecode Kind = "decode"
	// KindLast tells that a mark would take out the last of something.
	KindLast Kind = "last"
	// KindUnknown tells that nothing has the name.
	KindUnknown Kind = "unknown"
)

// Error reports marks that cannot be used or made.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlmark: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Mark records that something is out of service, and why.
type Mark struct {
	Reason string    `json:"reason"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
}

// Marks lists all that is out of service. A name that is absent is in service.
type Marks struct {
	VMs         map[zlunit.VM]Mark         `json:"vms,omitempty"`
	DataCentres map[zlunit.DataCentre]Mark `json:"dataCentres,omitempty"`
	Upstreams   map[zlunit.Upstream]Mark   `json:"upstreams,omitempty"`
	zlhistory.Meta
}

// Decode reads marks; empty data are no marks. The error is an *Error.
func Decode(data []byte) (*Marks, error) {
	var m Marks
	if len(data) == 0 {
		return &m, nil
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, &Error{
			Op:   "decode",
			Kind: KindDecode,
			Err:  eris.Wrap(err, "marks"),
		}
	}
	return &m, nil
}

// UpstreamOut reports whether u, which stands in dc, is out of service.
func (m *Marks) UpstreamOut(u zlunit.Upstream, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.Upstreams[u]
	return ok
}

// VMOut reports whether vm, which stands in dc, is out of service.
func (m *Marks) VMOut(vm zlunit.VM, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.VMs[vm]
	return ok
}
