package zlmark

import (
	"maps"
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// RampLength is the time in which work returns in full after a mark is removed.
	RampLength = 10 * time.Second
	// maxRampLength is the longest ramp of a mark that is set and removed repeatedly.
	maxRampLength = 160 * time.Second
	// flapWindow is how long after the end of a ramp a new mark on the same name still
	// counts as flapping.
	flapWindow = time.Minute
	// firstWeight is the weight at the start of a ramp, from 0 to 1.
	firstWeight = 0.05
)

// Ramp is the gradual return to service of one name, as seen by this daemon.
type Ramp struct {
	// Since is the local time at which the mark was removed.
	Since time.Time
	// Length is the duration of the ramp. It doubles each time the mark flaps, up to
	// maxRampLength.
	Length time.Duration
}

// Weight returns the share of the usual work that is to be sent at now, from 0 to 1.
func (r Ramp) Weight(now time.Time) float64 {
	passed := now.Sub(r.Since)
	if passed >= r.Length {
		return 1
	}
	share := max(0, float64(passed)/float64(r.Length))
	return firstWeight + (1-firstWeight)*share
}

// recent reports whether a new mark at now counts as flapping.
func (r Ramp) recent(now time.Time) bool {
	return now.Sub(r.Since) < r.Length+flapWindow
}

// Ramps holds the recent ramps by name. It is immutable: Advance returns a new value.
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

// advance drops ramps that are no longer recent and starts one for each name whose mark
// was removed between old and next.
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

// nextRamp returns the ramp that starts at now; last is a recent ramp of the same name,
// or the zero Ramp.
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

// Weight returns the share of its usual work that the upstream u of dc is to be sent at
// now, from 0 to 1.
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
