package zlexecutor

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Leases grants the leases on upstreams: whether, and up to which limits, this
// daemon may send to one. The executor asks before it queues a sub-request
// and again right before it sends it. Implementations must be cheap and safe
// for concurrent use.
type Leases interface {
	// Grant returns what the lease on u allows now.
	Grant(u zlcatalog.Upstream) Grant
}

// Grant is what a lease allows at one moment.
type Grant struct {
	// Refusal is why nothing may be sent; ReasonNone allows sending.
	Refusal zlquery.Reason
	// Until is the local time at which the lease ends, which limits the
	// deadline of a sub-request. The zero time means that it does not end.
	Until time.Time
	// Slots is this daemon's share of the upstream's slots.
	Slots zlunit.Slots
	// Cold is this daemon's share of the upstream's cold limit; 0 means that
	// nothing is sent unless the upstream is known to be warm.
	Cold zlunit.Slots
	// Connections is this daemon's share of the upstream's connections.
	Connections zlunit.Connections
}

// UnlimitedLease is a Leases that grants each upstream as a whole, without an
// end.
type UnlimitedLease struct{}

// Grant implements Leases.
func (UnlimitedLease) Grant(u zlcatalog.Upstream) Grant {
	return Grant{
		Slots:       u.Slots,
		Cold:        u.ColdLimit,
		Connections: u.Connections,
	}
}

// limitDeadline returns the earlier of deadline and the end of the grant.
func (g *Grant) limitDeadline(deadline time.Time) time.Time {
	if g.Until.IsZero() || deadline.Before(g.Until) {
		return deadline
	}
	return g.Until
}
