package zlsync

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnknown tells that the platform did not say whether the write took
	// effect, and it could not be read back in time.
	KindUnknown Kind = "unknown"
	// KindFailed tells that nothing was written.
	KindFailed Kind = "failed"
	// KindInvalid tells that the record as changed would be bad; nothing was
	// written.
	KindInvalid Kind = "invalid"
	// KindConflict tells that someone else changed the same first; nothing was
	// written.
	KindConflict Kind = "conflict"
)

// Error reports an edit that was not accepted.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlsync: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func fault(kind Kind, err error) error {
	return &Error{
		Op:   "edit",
		Kind: kind,
		Err:  err,
	}
}
