// Package zlmark holds the operators' marks that take VMs, data centres and upstreams
// out of service. It decodes and changes the record of all marks, checks that a new mark
// leaves something in service, and computes how work returns to what was marked. It
// neither stores marks nor acts on them.
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
	// KindDecode means that the marks cannot be decoded.
	KindDecode Kind = "decode"
	// KindLast means that a mark would take the last of its kind out of service.
	KindLast Kind = "last"
	// KindUnknown means that the name to be marked does not exist.
	KindUnknown Kind = "unknown"
)

// Error reports marks that cannot be decoded or set.
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

// Mark records who took something out of service, when and why.
type Mark struct {
	Reason string    `json:"reason"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at"`
}

// Marks holds all marks by name. A name without a mark is in service.
type Marks struct {
	VMs         map[zlunit.VM]Mark         `json:"vms,omitempty"`
	DataCentres map[zlunit.DataCentre]Mark `json:"dataCentres,omitempty"`
	Upstreams   map[zlunit.Upstream]Mark   `json:"upstreams,omitempty"`
	zlhistory.Meta
}

// Decode decodes marks from JSON; empty data means no marks. The error is an *Error.
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

// UpstreamOut reports whether the upstream u or its data centre dc is out of service.
func (m *Marks) UpstreamOut(u zlunit.Upstream, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.Upstreams[u]
	return ok
}

// VMOut reports whether vm or its data centre dc is out of service.
func (m *Marks) VMOut(vm zlunit.VM, dc zlunit.DataCentre) bool {
	if _, ok := m.DataCentres[dc]; ok {
		return true
	}
	_, ok := m.VMs[vm]
	return ok
}
