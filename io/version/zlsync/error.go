package zlsync

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnknown means that no reply showed whether the write took effect, and
	// that it could not be read back in time.
	KindUnknown Kind = "unknown"
	// KindFailed means that the platform failed and nothing was written.
	KindFailed Kind = "failed"
	// KindInvalid means that the changed record would be invalid; nothing was
	// written.
	KindInvalid Kind = "invalid"
	// KindConflict means that another edit set the same values first; nothing
	// was written.
	KindConflict Kind = "conflict"
)

// Error reports an edit that failed or, for KindUnknown, whose outcome is unknown.
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

func editError(kind Kind, err error) error {
	return &Error{
		Op:   "edit",
		Kind: kind,
		Err:  err,
	}
}
