// Package zlforward carries requests between the relay's VMs: a VM that has lost its paths
// to the replicas sends them to one that has not (see zlpeerbalancer), which serves them
// with its own zlrelay. It speaks HTTP/1.1 with CBOR bodies, over the address at which VMs
// receive messages of each other. It neither chooses VMs nor decides on requests. The
// messages are not authenticated; the private network is relied on.
package zlforward

import (
	"fmt"
	"time"
)

// Path is the path of the requests.
const Path = "/forward"

const (
	// dialTimeout bounds the dial to another VM.
	dialTimeout = 250 * time.Millisecond
	// readTimeout bounds the reading of a request.
	readTimeout = time.Second
	// idleTimeout is how long an idle connection is kept: until the next request of a
	// VM that has lost its paths, but not for the time after that.
	idleTimeout = 5 * time.Second
	// maxIdlePerVM bounds the idle connections to one VM.
	maxIdlePerVM = 16
	// maxMessageBytes bounds a request and a reply: a caller's body or an answer of 8 MB
	// with its headers.
	maxMessageBytes = 9 << 20
	// maxHeadBytes bounds the head of a reply.
	maxHeadBytes = 16 << 10
	// aliveByte is sent each zlrelay.ForwardInterval while a request is served, before
	// the reply.
	aliveByte = 0
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindFormat means that a message cannot be decoded.
	KindFormat Kind = "format"
	// KindTooLarge means that a message is larger than allowed, or than there is room for.
	KindTooLarge Kind = "tooLarge"
	// KindStatus means that the other VM answered with an unexpected status.
	KindStatus Kind = "status"
)

// Error is the error of this package. Op is the operation, and Err the cause, if any.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("zlforward: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("zlforward: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
