package zlcapacity

import (
	"fmt"
	"strings"
)

// limit is one row of the page's table of limits.
type limit struct {
	name    string
	allowed float64
	unit    string
	used    float64
	band    float64
	how     string
}

// verdict compares the used value and its error with what is allowed.
func (l *limit) verdict() string {
	switch {
	case l.used+2*l.band <= l.allowed:
		return "kept"
	case l.used <= l.allowed:
		return "kept, within twice the error of the limit"
	case l.used-2*l.band <= l.allowed:
		return "open: twice the error reaches below the limit"
	default:
		return "**broken**"
	}
}

type lineMap map[Series]map[Quantity]*fitted

// value returns the line's value at its target.
func (m lineMap) value(s Series, q Quantity) (value, band float64, ok bool) {
	f, ok := m[s][q]
	if !ok {
		return 0, 0, false
	}
	value, band = f.at(f.Target)
	return value, band, true
}

// growth returns what the line adds from its first point to its target.
func (m lineMap) growth(s Series, q Quantity) (value, band float64, ok bool) {
	f, ok := m[s][q]
	if !ok {
		return 0, 0, false
	}
	reach := f.Target - f.points[0].X
	return f.line.Slope * f.Scale * reach, f.line.SlopeError * f.Scale * reach, true
}

func limitTable(lines map[Series]map[Quantity]*fitted) string {
	var b strings.Builder
	b.WriteString("\n### Limits\n\n")
	b.WriteString("| limit | allowed | used at the size to design for | share | verdict | worked out as |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, l := range limits(lines) {
		fmt.Fprintf(&b, "| %s | %.4g %s | %.4g ± %.2g %s | %.0f%% | %s | %s |\n",
			l.name, l.allowed, l.unit, l.used, l.band, l.unit, 100*l.used/l.allowed, l.verdict(), l.how)
	}
	return b.String()
}

// limits works out every limit whose lines were fitted.
func limits(m lineMap) []limit {
	var out []limit
	add := func(l limit, ok bool) {
		if ok {
			out = append(out, l)
		}
	}
	add(m.controlCPU())
	add(m.controlBytes())
	add(m.memory())
	add(m.platformCalls())
	add(m.inForce())
	add(m.takeover())
	add(m.queryCPU())
	return out
}

// controlHow tells how the two limits on control work are worked out.
const controlHow = "at rest with 18 connections, what 4,000 upstreams add, 3,200 edits and 441 member changes a day"

func (m lineMap) controlCPU() (limit, bool) {
	// A millisecond a second is a tenth of a hundredth of a core.
	l, ok := m.control(QuantityCPU, QuantityChangeCPU, 0.1)
	l.name = "processor time for control"
	l.allowed = targetControlCPU * 100
	l.unit = "% of a core"
	return l, ok
}

func (m lineMap) controlBytes() (limit, bool) {
	l, ok := m.control(QuantityBytes, QuantityChangeBytes, 1)
	l.name = "control traffic, both ways"
	l.allowed = targetControlBytes / kibibyte
	l.unit = "KB/s"
	return l, ok
}

// control adds what recurs and what the day's changes cost; scale turns the
// unit of a change's cost, spread over a second, into that of what recurs.
func (m lineMap) control(rest, change Quantity, scale float64) (limit, bool) {
	idle, idleBand, ok1 := m.value(SeriesDaemons, rest)
	more, moreBand, ok2 := m.growth(SeriesUpstreams, rest)
	edit, editBand, ok3 := m.value(SeriesNodes, change)
	death, deathBand, ok4 := m.value(SeriesDaemons, change)
	perEdit := targetChangesDay / dayInSecs * scale
	perDeath := targetMembersDay / dayInSecs * scale
	return limit{
		used: idle + max(more, 0) + edit*perEdit + death*perDeath,
		band: idleBand + moreBand + editBand*perEdit + deathBand*perDeath,
		how:  controlHow,
	}, ok1 && ok2 && ok3 && ok4
}

func (m lineMap) memory() (limit, bool) {
	idle, idleBand, ok1 := m.value(SeriesDaemons, QuantityHeap)
	upstreams, upstreamsBand, ok2 := m.growth(SeriesUpstreams, QuantityHeap)
	nodes, nodesBand, ok3 := m.growth(SeriesNodes, QuantityHeap)
	return limit{
		name:    "memory for control (live heap)",
		allowed: targetControlHeap / mebibyte,
		unit:    "MB",
		used:    idle + max(upstreams, 0) + max(nodes, 0),
		band:    idleBand + upstreamsBand + nodesBand,
		how:     "heap at 660 daemons, what 4,000 upstreams and 3,000 tree nodes add",
	}, ok1 && ok2 && ok3
}

// single fills in a limit that rests on one line alone.
func (m lineMap) single(s Series, q Quantity, l limit) (limit, bool) {
	var ok bool
	l.used, l.band, ok = m.value(s, q)
	return l, ok
}

func (m lineMap) platformCalls() (limit, bool) {
	return m.single(SeriesDaemons, QuantityPlatformCalls, limit{
		name:    "platform calls of the fleet at rest",
		allowed: platformReads,
		unit:    "calls/s",
		how:     "calls a second at 660 daemons, waiting watches counted as one each",
	})
}

func (m lineMap) inForce() (limit, bool) {
	return m.single(SeriesDaemons, QuantityInForce, limit{
		name:    "a change in force everywhere",
		allowed: targetInForce,
		unit:    "s",
		how:     "largest of 10 edits, until the last daemon, at 660 daemons",
	})
}

// takeoverTarget is within how many seconds a dead daemon's upstreams find a
// new holder.
const takeoverTarget = 10.0

func (m lineMap) takeover() (limit, bool) {
	return m.single(SeriesDaemons, QuantityTakeover, limit{
		name:    "a dead daemon's upstreams taken over (own target)",
		allowed: takeoverTarget,
		unit:    "s",
		how:     "from SIGKILL until the others hold every upstream, at 660 daemons",
	})
}

// coresPerDaemon is what a small entry VM is taken to have.
const coresPerDaemon = 4.0

func (m lineMap) queryCPU() (limit, bool) {
	ms, band, ok := m.value(SeriesShards, QuantityQueryCPU)
	perDaemon := targetQueries / targetDaemons / 1000
	return limit{
		name:    "processor time for queries (VM of 4 cores assumed)",
		allowed: coresPerDaemon,
		unit:    "cores",
		used:    ms * perDaemon,
		band:    band * perDaemon,
		how:     "processor time of a 160-shard query, coordinator and aggregators, at 197 queries/s a daemon",
	}, ok
}
