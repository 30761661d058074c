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
	// stdError is the standard error of used.
	stdError float64
	// derivation describes how used is computed.
	derivation string
}

// verdict compares the used value and its standard error with the allowed
// value.
func (l *limit) verdict() string {
	switch {
	case l.used+2*l.stdError <= l.allowed:
		return "kept"
	case l.used <= l.allowed:
		return "kept, within twice the error of the limit"
	case l.used-2*l.stdError <= l.allowed:
		return "open: twice the error reaches below the limit"
	default:
		return "**broken**"
	}
}

// fits holds the fitted lines by series and quantity.
type fits map[Series]map[Quantity]*fit

// value returns a line's value and standard error at its target.
func (m fits) value(s Series, q Quantity) (value, stdErr float64, ok bool) {
	f, ok := m[s][q]
	if !ok {
		return 0, 0, false
	}
	value, stdErr = f.at(f.Target)
	return value, stdErr, true
}

// growth returns how much a line rises from its first point to its target, and
// the standard error.
func (m fits) growth(s Series, q Quantity) (value, stdErr float64, ok bool) {
	f, ok := m[s][q]
	if !ok {
		return 0, 0, false
	}
	distance := f.Target - f.points[0].X
	return f.line.Slope * f.Scale * distance, f.line.SlopeError * f.Scale * distance, true
}

// limitTable returns the table of limits as Markdown.
func limitTable(lines map[Series]map[Quantity]*fit) string {
	var b strings.Builder
	b.WriteString("\n### Limits\n\n")
	b.WriteString("| limit | allowed | used at the size to design for | share | verdict | worked out as |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, l := range limits(lines) {
		fmt.Fprintf(&b, "| %s | %.4g %s | %.4g ± %.2g %s | %.0f%% | %s | %s |\n",
			l.name, l.allowed, l.unit, l.used, l.stdError, l.unit, 100*l.used/l.allowed, l.verdict(), l.derivation)
	}
	return b.String()
}

// limits returns every limit whose lines were fitted.
func limits(m fits) []limit {
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

// controlDerivation describes how the two limits on control work are computed.
const controlDerivation = "at rest with 18 connections, what 4,000 upstreams add, 3,200 edits and 441 member changes a day"

func (m fits) controlCPU() (limit, bool) {
	// 1 ms per second is 0.1 % of a core.
	l, ok := m.control(QuantityCPU, QuantityChangeCPU, 0.1)
	l.name = "processor time for control"
	l.allowed = targetControlCores * 100
	l.unit = "% of a core"
	return l, ok
}

func (m fits) controlBytes() (limit, bool) {
	l, ok := m.control(QuantityBytes, QuantityChangeBytes, 1)
	l.name = "control traffic, both ways"
	l.allowed = targetControlBytesPerSecond / kibibyte
	l.unit = "KB/s"
	return l, ok
}

// control adds the recurring cost and the cost of the changes of a day. scale
// converts the cost of a change, spread over a second, to the unit of the
// recurring cost.
func (m fits) control(recurring, change Quantity, scale float64) (limit, bool) {
	idle, idleErr, idleOK := m.value(SeriesDaemons, recurring)
	upstreams, upstreamsErr, upstreamsOK := m.growth(SeriesUpstreams, recurring)
	edit, editErr, editOK := m.value(SeriesNodes, change)
	memberChange, memberChangeErr, memberChangeOK := m.value(SeriesDaemons, change)
	perEdit := targetEditsPerDay / secondsPerDay * scale
	perMemberChange := targetMemberChangesPerDay / secondsPerDay * scale
	return limit{
		used:       idle + max(upstreams, 0) + edit*perEdit + memberChange*perMemberChange,
		stdError:   idleErr + upstreamsErr + editErr*perEdit + memberChangeErr*perMemberChange,
		derivation: controlDerivation,
	}, idleOK && upstreamsOK && editOK && memberChangeOK
}

func (m fits) memory() (limit, bool) {
	idle, idleErr, idleOK := m.value(SeriesDaemons, QuantityHeap)
	upstreams, upstreamsErr, upstreamsOK := m.growth(SeriesUpstreams, QuantityHeap)
	nodes, nodesErr, nodesOK := m.growth(SeriesNodes, QuantityHeap)
	return limit{
		name:       "memory for control (live heap)",
		allowed:    targetControlHeapBytes / mebibyte,
		unit:       "MB",
		used:       idle + max(upstreams, 0) + max(nodes, 0),
		stdError:   idleErr + upstreamsErr + nodesErr,
		derivation: "heap at 660 daemons, what 4,000 upstreams and 3,000 tree nodes add",
	}, idleOK && upstreamsOK && nodesOK
}

// singleLine completes a limit that depends on one line only.
func (m fits) singleLine(s Series, q Quantity, l limit) (limit, bool) {
	var ok bool
	l.used, l.stdError, ok = m.value(s, q)
	return l, ok
}

func (m fits) platformCalls() (limit, bool) {
	return m.singleLine(SeriesDaemons, QuantityPlatformCalls, limit{
		name:       "platform calls of the fleet at rest",
		allowed:    platformReadsPerSecond,
		unit:       "calls/s",
		derivation: "calls a second at 660 daemons, waiting watches counted as one each",
	})
}

func (m fits) inForce() (limit, bool) {
	return m.singleLine(SeriesDaemons, QuantityInForce, limit{
		name:       "a change in force everywhere",
		allowed:    targetInForceSeconds,
		unit:       "s",
		derivation: "largest of 10 edits, until the last daemon, at 660 daemons",
	})
}

// takeoverTargetSeconds is the time in which other daemons must take over a
// dead daemon's upstreams.
const takeoverTargetSeconds = 10.0

func (m fits) takeover() (limit, bool) {
	return m.singleLine(SeriesDaemons, QuantityTakeover, limit{
		name:       "a dead daemon's upstreams taken over (own target)",
		allowed:    takeoverTargetSeconds,
		unit:       "s",
		derivation: "from SIGKILL until the others hold every upstream, at 660 daemons",
	})
}

// coresPerDaemon is the assumed size of a small VM.
const coresPerDaemon = 4.0

func (m fits) queryCPU() (limit, bool) {
	ms, stdErr, ok := m.value(SeriesShards, QuantityQueryCPU)
	perDaemon := targetQueriesPerSecond / targetDaemons / 1000
	return limit{
		name:       "processor time for queries (VM of 4 cores assumed)",
		allowed:    coresPerDaemon,
		unit:       "cores",
		used:       ms * perDaemon,
		stdError:   stdErr * perDaemon,
		derivation: "processor time of a 160-shard query, coordinator and executors, at 197 queries/s a daemon",
	}, ok
}
