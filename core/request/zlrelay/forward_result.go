package zlrelay

import (
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
)

// handleForward takes in the result of a forward. One that was ended before has none.
func (x *run) handleForward(now time.Time, res forwardResult) {
	a := res.attempt
	if x.forward.current != a {
		return
	}
	switch rep := res.reply.(type) {
	case *Declined:
		x.relay.Peers.Recommend(now, rep.Serving)
		x.endForward(now, a, outcomeOfDecline(rep.Reason), rep.Reason, 0)
	case *NoReply:
		runs := 0
		if rep.MayHaveRun {
			runs = x.runsWithoutReply(a)
		}
		x.endForward(now, a, zlpeerbalancer.OutcomeFailed, zldecision.ReasonPeerUnreached, runs)
	case *Relayed:
		x.relay.noteForwardVersion(rep.Version)
		x.handleRelayed(now, a, rep.Answer)
	}
}

func outcomeOfDecline(reason zldecision.Reason) zlpeerbalancer.Outcome {
	if reason == zldecision.ReasonBusy || reason == zldecision.ReasonNoRoom || reason == zldecision.ReasonOverShare {
		return zlpeerbalancer.OutcomeBusy
	}
	return zlpeerbalancer.OutcomeUnable
}

// handleRelayed takes in what another VM decided.
func (x *run) handleRelayed(now time.Time, a *forwardAttempt, answer Answer) {
	switch w := answer.(type) {
	case *Refused:
		if w.Reason == zldecision.ReasonNoRoom || w.Reason == zldecision.ReasonOverShare {
			x.endForward(now, a, zlpeerbalancer.OutcomeBusy, w.Reason, 0)
			return
		}
	case *Failed:
		if w.Reason == zldecision.ReasonUplinkLost {
			x.endForward(now, a, zlpeerbalancer.OutcomeUnable, w.Reason, w.Runs)
			return
		}
	default:
	}
	x.forward.current = nil
	x.relay.Peers.Done(now, a.peer.VM, zlpeerbalancer.OutcomeServed)
	for _, fp := range a.parts {
		fp.part.forwarded = false
	}
	switch w := answer.(type) {
	case *Merged:
		x.takeMerged(a, w)
	case *Served:
		x.takeServed(a.parts[0].part, w.Response)
		x.forward.via = a.peer.VM
	case *Refused:
		x.takeRefused(a, w)
	case *Failed:
		x.takeFailed(a, w)
	}
	x.noteHelp(a)
}

// takeMerged takes in the parts that another VM served. Its records are the greatest of all
// of them, so they stand for the first, and replace what replicas answered here meanwhile.
func (x *run) takeMerged(a *forwardAttempt, m *Merged) {
	records := m.Records
	for i, service := range m.Services {
		for _, fp := range a.parts {
			p := fp.part
			if p.service != service || i >= len(m.Signatures) {
				continue
			}
			p.lostReason = ""
			p.response = &Response{
				Signature: m.Signatures[i],
				Body:      records,
			}
			p.cancelAttempts()
			records = nil
			x.forward.via = a.peer.VM
		}
	}
	x.loseForwarded(a, zldecision.ReasonPeerWithout)
}

// takeServed takes in the answer of a replica that another VM asked.
func (x *run) takeServed(p *part, w *Response) {
	if !x.isUsable(w) {
		p.failure = w
		p.heard = true
		p.mayHaveRun++
		p.markLost(zldecision.ReasonReplicaFailed)
		return
	}
	p.response = w
	p.cancelAttempts()
}

// takeRefused ends the request as the other VM does, unless it may have run before or parts
// of it are answered.
func (x *run) takeRefused(a *forwardAttempt, w *Refused) {
	x.loseForwarded(a, w.Reason)
	for i := range x.parts {
		if p := &x.parts[i]; p.mayHaveRun > 0 || p.response != nil || p.isOpen() {
			return
		}
	}
	x.forward.final = x.relay.refuseWith(x.view, x.req, x.route, w.Reason, w.RetryAfter)
}

// takeFailed ends the request as the other VM does, unless other parts may still suffice.
func (x *run) takeFailed(a *forwardAttempt, w *Failed) {
	for _, fp := range a.parts {
		fp.part.arrivals += w.Runs
		fp.part.mayHaveRun += w.Runs
	}
	x.loseForwarded(a, w.Reason)
	if w.TimedOut && x.answeredParts() == 0 {
		x.forward.final = x.fail(w.Reason, true)
	}
}

// loseForwarded gives up the parts of a forward that got no response and have no send
// under way here.
func (x *run) loseForwarded(a *forwardAttempt, reason zldecision.Reason) {
	for _, fp := range a.parts {
		if p := fp.part; p.response == nil && len(p.inFlight) == 0 {
			p.heard = true
			p.markLost(reason)
		}
	}
}
