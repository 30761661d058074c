package zlplatform

import (
	"errors"
	"sync"
	"time"
)

// outageThreshold is the time without a reply after which a failed call starts an
// outage. A single lost reply is no outage, and outages are reported at most once a
// second.
const outageThreshold = time.Second

// OutageChange is the start or the end of an outage of the platform.
type OutageChange struct {
	// Err is the failure that started the outage; nil at its end.
	Err error
	// Duration is the length of the outage; 0 at its start.
	Duration time.Duration
}

// outageDetector finds the starts and ends of outages from the results of calls.
type outageDetector struct {
	mu sync.Mutex
	// lastReply is the time of the latest reply.
	lastReply time.Time
	// outageStart is the time at which the present outage began; zero if there is none.
	outageStart time.Time
}

// recordResult updates the outage detector with the result of a call and reports a
// change through OnOutage. Any reply but status 502, 503 or 504 shows that the
// platform can be reached.
func (c *Client) recordResult(err error) {
	if c.OnOutage == nil {
		return
	}
	var fault *Error
	unreachable := errors.As(err, &fault) && fault.Kind == KindUnavailable
	now := time.Now()
	if t, ok := c.outage.record(now, unreachable); ok {
		if unreachable {
			t.Err = err
		}
		c.OnOutage(t)
	}
}

// record takes the result of a call that ended at now. It returns true with the start or
// end of an outage, and false if nothing changed.
func (d *outageDetector) record(now time.Time, unreachable bool) (OutageChange, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !unreachable:
		d.lastReply = now
		if d.outageStart.IsZero() {
			return OutageChange{}, false
		}
		t := OutageChange{
			Duration: now.Sub(d.outageStart),
		}
		d.outageStart = time.Time{}
		return t, true
	case !d.outageStart.IsZero() || now.Sub(d.lastReply) < outageThreshold:
		return OutageChange{}, false
	default:
		d.outageStart = now
		return OutageChange{}, true
	}
}
