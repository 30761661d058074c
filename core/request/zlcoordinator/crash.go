package zlcoordinator

import (
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/cespare/xxhash/v2"
)

// canaryInterval is how often a shard that waits for the canary looks for its end.
const canaryInterval = 5 * time.Millisecond

// crashState is what a query knows of upstreams that ended while they had it; its
// counterpart in the relay has the same name.
type crashState struct {
	// round counts the rounds of sends; see zlquarantine.Round.
	round int
	// suspected is set while the query may go to one upstream at a time only. If
	// canarySent is set, canary is that sub-request, as an index into queryRun.subs.
	suspected  bool
	canarySent bool
	canary     int
	// trial is set if the query is the trial of zlquarantine.Trial.
	trial bool
	// answered is set once an upstream answered the query, so that it does not crash them.
	answered bool
}

// fingerprintOf returns the fingerprint of a query: its service, kind and text.
func fingerprintOf(req *zlquery.Request) zlunit.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(req.Service), string(req.Kind), req.Text} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return zlunit.Fingerprint(d.Sum64())
}

// begin returns what may be done with a query at its start.
func (c *Coordinator) begin(req *zlquery.Request) zlquarantine.Verdict {
	if c.Quarantine == nil || !c.Quarantine.Active() {
		return zlquarantine.Unsuspected
	}
	return c.Quarantine.Begin(fingerprintOf(req))
}

// verdict returns what may be done with a query.
func (c *Coordinator) verdict(req *zlquery.Request) zlquarantine.Verdict {
	if c.Quarantine == nil || !c.Quarantine.Active() {
		return zlquarantine.Unsuspected
	}
	return c.Quarantine.Verdict(fingerprintOf(req))
}

// holdSuspected reports whether a shard may not be sent now: the query is known to crash
// upstreams, and the shard is given up, or it is suspected and another sub-request is under
// way, and the shard waits.
func (r *queryRun) holdSuspected(shard zlunit.Shard, reason zlquery.Reason, now time.Time) bool {
	c := &r.crash
	if !c.answered && !c.trial {
		switch r.coordinator.verdict(r.req) {
		case zlquarantine.Quarantined:
			r.giveUpShard(shard, zlquery.ReasonQuarantined)
			return true
		case zlquarantine.Suspected:
			c.suspected = true
		default:
		}
	}
	if !c.suspected || !c.canarySent || r.subs[c.canary].ended() {
		return false
	}
	st := &r.shards[shard]
	st.awaitsCanary = true
	st.retryReason = reason
	st.retryAt = r.sinceStart(now) + canaryInterval
	r.rearmNeeded = true
	return true
}

// noteCrash updates what is known of the query from the result of a sub-request.
func (r *queryRun) noteCrash(sub *subState, result zlquery.Result, now time.Time) {
	l := r.coordinator.Quarantine
	if l == nil || r.crash.answered {
		return
	}
	switch result := result.(type) {
	case zlquery.Done:
		r.crash.answered = true
		if r.crash.suspected {
			r.crash.suspected = false
			r.resumeShards(now)
		}
		l.Clear(fingerprintOf(r.req))
	case zlquery.Unknown:
		if result.Reason != zlquery.ReasonConnectionReset {
			return
		}
		l.RecordCrash(&zlquarantine.Crash{
			Fingerprint: fingerprintOf(r.req),
			Round:       zlquarantine.Round(xxhash.Sum64String(string(r.query)) + uint64(sub.crashRound)),
			Upstream:    sub.candidate.Upstream,
		})
		if sub.crashRound == r.crash.round {
			r.crash.round++
		}
		r.crash.suspected = true
	default:
	}
}

// resumeShards lets the shards that waited for the canary be sent at once.
func (r *queryRun) resumeShards(now time.Time) {
	for i := range r.shards {
		if st := &r.shards[i]; st.awaitsCanary && !st.settled {
			st.retryAt = max(r.sinceStart(now), 1)
		}
	}
	r.rearmNeeded = true
}
