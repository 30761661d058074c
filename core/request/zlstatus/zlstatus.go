// Package zlstatus says which HTTP status codes are valid in a response of a replica, an
// upstream, the store or another VM. A failing one may send any. It has no state.
package zlstatus

const (
	minInterim = 100
	minFinal   = 200
	maxFinal   = 599
)

// IsInterim reports whether a response with this status precedes the one that counts.
func IsInterim(status int) bool {
	return status >= minInterim && status < minFinal
}

// IsFinal reports whether a response with this status may be passed on. One that is neither
// interim nor final is an invalid reply, which says nothing of whether its request ran.
func IsFinal(status int) bool {
	return status >= minFinal && status <= maxFinal
}
