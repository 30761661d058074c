package zlaggr

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
)

// Tenure tells whether this daemon may speak to an upstream. The aggregator
// asks before a sub-request is queued and again right before it is sent.
// Implementations must be cheap and safe for concurrent use.
type Tenure interface {
	// Grant returns what is allowed at this moment.
	Grant(u zlcatalog.Upstream) Grant
}

// Grant is what a tenure allows at one moment.
type Grant struct {
	// Refusal is why nothing may be sent; ReasonNone allows sending.
	Refusal zlquery.Reason
	// Until is the local time at which the grant ends; a sub-request's
	// deadline is cut to it. The zero time means no end.
	Until time.Time
	// Slots is this daemon's share of the upstream's slots.
	Slots zlunit.Slots
	// Cold is this daemon's share of the upstream's cold limit; 0 means that
	// nothing is sent unless the upstream is known to be warm.
	Cold zlunit.Slots
	// Connections is this daemon's share of the upstream's connections.
	Connections zlunit.Connections
}

// AlwaysTenure grants everything without an end.
type AlwaysTenure struct{}

// Grant implements Tenure.
func (AlwaysTenure) Grant(u zlcatalog.Upstream) Grant {
	return Grant{
		Slots:       u.Slots,
		Cold:        u.ColdLimit,
		Connections: u.Connections,
	}
}

// cut returns the earlier of deadline and the grant's end.
func (g *Grant) cut(deadline time.Time) time.Time {
	if g.Until.IsZero() || deadline.Before(g.Until) {
		return deadline
	}
	return g.Until
}
