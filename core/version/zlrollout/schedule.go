package zlrollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The shares of the stages.
const (
	// smallShare leaves a bad build well below the usual bound of 0.1 of all requests.
	smallShare = 0.05
	halfShare  = 0.5
)

// The times of the stages are parts of the order's duration.
const (
	// halfAt and fullAt are when the shares halfShare and 1 begin. At these times the
	// exposure since the order is still below 0.08 if all VMs apply it at once.
	halfAt = 0.75
	fullAt = 0.81
	// completeAt is the latest time of completion.
	completeAt = 0.95
	// orderLag is the longest time until VMs in contact learn of an order or a status, as
	// the platform documents it, and maxLagPart its greatest part of a short duration.
	orderLag   = 1300 * time.Millisecond
	maxLagPart = 0.11
	// settleTime is what VMs need after the last stage was written to learn of it, to end
	// what is in flight and to report that: orderLag and two reports.
	settleTime    = 1800 * time.Millisecond
	maxSettlePart = 0.15
	// staggerPart and maxStagger limit how much earlier the stages of a service may be, so
	// that services do not all change at the same moment.
	staggerPart = 0.05
	maxStagger  = 2 * time.Second
	// minSmallPart is the least time at the small share before it grows.
	minSmallPart = 0.1
	// extraPart is how much of the duration before the last moment completion is written
	// unless VMs that are heard from still use old replicas.
	extraPart = 0.04
	// soakPart is how much of the duration before the last moment completion may be written
	// first. Until then a build that fails only under its whole load can show that; the
	// rest is for another write or another VM if the first fails.
	soakPart = 0.08
	// noTargetPart is after which part of the duration an order without replicas of its
	// target gets a status.
	noTargetPart = 0.25
)

// schedule holds the times of the stages, counted from when this VM learned of the order.
type schedule struct {
	duration time.Duration
	half     time.Duration
	full     time.Duration
	latest   time.Duration
	force    time.Duration
	noTarget time.Duration
	minSmall time.Duration
	// minFull is the least time at share 1 before completion, in which VMs learn of it.
	minFull time.Duration
	// soak is when completion may be written first.
	soak time.Duration
}

// newSchedule returns the times for an order of the given duration. They allow for an
// order that this VM learned of orderLag after it was given.
func newSchedule(id OrderID, d time.Duration) schedule {
	lag := min(orderLag, part(d, maxLagPart))
	stagger := min(maxStagger, part(d, staggerPart))
	early := part(stagger, float64(xxhash.Sum64String(string(id.Service))%1024)/1024)
	force := part(d, completeAt) - lag
	latest := force - part(d, extraPart)
	full := min(part(d, fullAt), latest-min(settleTime, part(d, maxSettlePart)))
	half := min(part(d, halfAt), full-lag)
	return schedule{
		duration: d,
		half:     half - early,
		full:     full - early,
		latest:   latest,
		force:    force,
		noTarget: part(d, noTargetPart),
		minSmall: part(d, minSmallPart),
		minFull:  lag,
		soak:     force - part(d, soakPart),
	}
}

// part returns a part of d.
func part(d time.Duration, of float64) time.Duration {
	return time.Duration(float64(d) * of)
}
