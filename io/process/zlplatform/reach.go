package zlplatform

import (
	"errors"
	"sync"
	"time"
)

// lostAfter is how long no call may have succeeded before a failed one means that
// the platform is lost: a single lost reply is none, and lines are a second apart.
const lostAfter = time.Second

// Turn tells that the platform was lost, or is back.
type Turn struct {
	// Err is the failure; nil if it is back.
	Err error
	// Out is how long it was lost; 0 if it was lost just now.
	Out time.Duration
}

// reach is whether the platform answers.
type reach struct {
	mu sync.Mutex
	// seen is when it answered last; lost is when it was lost, or zero.
	seen time.Time
	lost time.Time
}

// note takes up how a call ended. Any answer shows that the platform is there.
func (c *Client) note(err error) {
	if c.Turned == nil {
		return
	}
	var fault *Error
	out := errors.As(err, &fault) && fault.Kind == KindUnavailable
	now := time.Now()
	if t, ok := c.reach.turn(now, out); ok {
		if out {
			t.Err = err
		}
		c.Turned(t)
	}
}

func (r *reach) turn(now time.Time, out bool) (Turn, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !out:
		r.seen = now
		if r.lost.IsZero() {
			return Turn{}, false
		}
		t := Turn{
			Out: now.Sub(r.lost),
		}
		r.lost = time.Time{}
		return t, true
	case !r.lost.IsZero() || now.Sub(r.seen) < lostAfter:
		return Turn{}, false
	default:
		r.lost = now
		return Turn{}, true
	}
}
