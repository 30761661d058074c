package zlmark

import (
	"maps"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// RampLength is how long a return to service takes.
	RampLength = 10 * time.Second
	// maxRampLength bounds the ramp of a mark that keeps changing.
	maxRampLength = 160 * time.Second
	// flapWindow is how long after the end of a ramp another mark still
	// counts as flapping.
	flapWindow = time.Minute
	// firstWeight is the weight at the start of a ramp.
	firstWeight = 0.05
)

// Ramp is one return to service, as seen by this daemon.
type Ramp struct {
	// Since is the local time of the return.
	Since time.Time
	// Length doubles each time that a mark flaps.
	Length time.Duration
}

// Weight is the share of its usual work that is due at now, from 0 to 1.
func (r Ramp) Weight(now time.Time) float64 {
	passed := now.Sub(r.Since)
	if passed >= r.Length {
		return 1
	}
	share := max(0, float64(passed)/float64(r.Length))
	return firstWeight + (1-firstWeight)*share
}

func (r Ramp) recent(now time.Time) bool {
	return now.Sub(r.Since) < r.Length+flapWindow
}

// Ramps holds the recent returns. It is a value: Advance returns a new one.
type Ramps struct {
	dataCentres map[zlunit.DataCentre]Ramp
	upstreams   map[zlunit.Upstream]Ramp
}

// Advance returns the ramps after the marks changed from old to next at now.
func (r Ramps) Advance(old, next *Marks, now time.Time) Ramps {
	return Ramps{
		dataCentres: advance(r.dataCentres, old.DataCentres, next.DataCentres, now),
		upstreams:   advance(r.upstreams, old.Upstreams, next.Upstreams, now),
	}
}

func advance[K comparable](ramps map[K]Ramp, old, next map[K]Mark, now time.Time) map[K]Ramp {
	out := maps.Clone(ramps)
	if out == nil {
		out = map[K]Ramp{}
	}
	maps.DeleteFunc(out, func(_ K, r Ramp) bool {
		return !r.recent(now)
	})
	for name := range old {
		if _, still := next[name]; still {
			continue
		}
		out[name] = nextRamp(out[name], now)
	}
	return out
}

func nextRamp(last Ramp, now time.Time) Ramp {
	r := Ramp{
		Since:  now,
		Length: RampLength,
	}
	if last.Length > 0 {
		r.Length = min(2*last.Length, maxRampLength)
	}
	return r
}

// Weight is the share of its usual work that an upstream of dc is due at now,
// from 0 to 1.
func (r Ramps) Weight(u zlunit.Upstream, dc zlunit.DataCentre, now time.Time) float64 {
	weight := 1.0
	if ramp, ok := r.dataCentres[dc]; ok {
		weight = ramp.Weight(now)
	}
	if ramp, ok := r.upstreams[u]; ok {
		weight = min(weight, ramp.Weight(now))
	}
	return weight
}

// Active reports whether any weight may be below 1 at now.
func (r Ramps) Active(now time.Time) bool {
	for _, ramp := range r.dataCentres {
		if ramp.Weight(now) < 1 {
			return true
		}
	}
	for _, ramp := range r.upstreams {
		if ramp.Weight(now) < 1 {
			return true
		}
	}
	return false
}
