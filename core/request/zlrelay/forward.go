package zlrelay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zluplink"
)

const (
	// maxForwards limits the forwards of one request. Most end with a refusal within a
	// round trip.
	maxForwards = 8
	// maxUnreachedForwards limits the forwards of a request for which this VM could not
	// connect to replicas, while others are reached.
	maxUnreachedForwards = 2
	// connectWait is how often to look whether connections to replicas can be made.
	connectWait = 5 * time.Millisecond
	// acceptTimeout is how long a VM may take to accept or decline a forward: a few
	// round trips between data centres and a late timer.
	acceptTimeout = 30 * time.Millisecond
	// silenceTimeout is how long a VM that accepted a forward may show no sign of life:
	// longer than a VM with a fraction of a core waits for processor time.
	silenceTimeout = 4 * ForwardInterval
	// lostRefusalAge is how long the uplink must be lost until requests that no other VM
	// serves are refused without being sent: a few probes must have failed.
	lostRefusalAge = 200 * time.Millisecond
)

// forwardState is what a run knows of its forwards to other VMs. One is under way at a time.
//
// Load pattern: this VM has lost its paths to the replicas (see zluplink), and each request
// that it sends to them is lost or late; or a request reached no replica of a service
// although others are reached. The parts without an answer are served by a VM that reaches
// their replicas; their earlier sends, which may arrive after all, count there as well.
type forwardState struct {
	results chan forwardResult
	current *forwardAttempt
	// tried are the VMs that did not serve the request.
	tried []zlunit.VM
	sends int
	// exhausted is set once no other VM was left to ask.
	exhausted bool
	// trying is set while this is the request by which the uplink is tried again.
	trying bool
	// final is the answer that another VM's decision leads to.
	final Answer
	// unsureUntil is when to look again whether connections to replicas can be made.
	unsureUntil time.Time
	// via is the VM that served parts of the answer.
	via zlunit.VM
}

// forwardAttempt is one forward to one VM.
type forwardAttempt struct {
	peer   zlpeerbalancer.Peer
	parts  []forwardedPart
	cancel context.CancelFunc
	state  atomic.Int32
	reason zldecision.Reason
	sentAt time.Time
	// aliveAt is when the VM last showed that it works on the request, in time since
	// sentAt; 0 before it accepted it.
	aliveAt atomic.Int64
	// recheckAt is when it is checked again whether a VM that is silent is to be given up;
	// zero before it was.
	recheckAt time.Time
}

// forwardedPart is a part that is forwarded, and why it was lost before.
type forwardedPart struct {
	part       *part
	lostReason zldecision.Reason
}

type forwardResult struct {
	attempt *forwardAttempt
	reply   ForwardReply
}

// mayForward reports whether the request may be forwarded to another VM. One that came
// from another VM is not forwarded again.
func (x *run) mayForward() bool {
	r := x.relay
	return r.Forwarder != nil && r.Uplink != nil && x.forwarded == nil && x.forward.sends < maxForwards
}

// startsForwarded reports whether the request is not to be sent to replicas at first. It may
// make the request the one by which the uplink is tried again.
func (x *run) startsForwarded() bool {
	if !x.mayForward() || !x.relay.Uplink.IsLost() {
		return false
	}
	x.forward.trying = x.relay.Uplink.Try(x.route.Idempotent)
	return !x.forward.trying
}

// stepForward makes the forward that is due. It returns true with the answer if that is
// decided, which may be nil while nothing else is to be done.
func (x *run) stepForward(now time.Time) (Answer, bool) {
	if x.relay.Uplink == nil || x.relay.Forwarder == nil && x.forwarded == nil {
		return nil, false
	}
	for i := range x.parts {
		x.parts[i].checkOverdue(now)
	}
	if x.forwarded != nil {
		return x.stepForOrigin()
	}
	x.forward.unsureUntil = time.Time{}
	x.checkSilence(now)
	switch {
	case x.forward.final != nil:
		return x.forward.final, true
	case x.forward.current != nil:
		return x.answer(now), true
	case !x.hasOpenParts() || !x.relay.Uplink.IsLost() || x.stillTrying():
		return nil, false
	case x.mayForward() && x.sendForward(now, zldecision.ReasonUplinkLost, x.forwardableParts(false)):
		return nil, true
	case x.sends == 0 && x.relay.Uplink.LostFor() >= lostRefusalAge:
		return x.endUnserved(), true
	default:
		return nil, false
	}
}

// endUnserved ends a request that was not sent to any replica and that no other VM serves.
func (x *run) endUnserved() Answer {
	for i := range x.parts {
		if x.parts[i].mayHaveRun > 0 {
			return x.fail(zldecision.ReasonUplinkLost, false)
		}
	}
	return x.relay.refuse(x.view, x.req, x.route, zldecision.ReasonUplinkLost, "")
}

func (x *run) hasOpenParts() bool {
	for i := range x.parts {
		if x.parts[i].isOpen() {
			return true
		}
	}
	return false
}

// stillTrying reports whether this request tries the uplink and no send of it has failed or is
// overdue.
func (x *run) stillTrying() bool {
	if !x.forward.trying {
		return false
	}
	for i := range x.parts {
		p := &x.parts[i]
		failed := p.sends > 0 && len(p.inFlight) == 0 && p.response == nil && !p.heard
		overdue := slices.ContainsFunc(p.inFlight, func(a *attempt) bool {
			return a.overdue
		})
		if failed || overdue {
			x.endTry()
			return false
		}
	}
	return true
}

func (x *run) endTry() {
	if x.forward.trying {
		x.forward.trying = false
		x.relay.Uplink.EndTry()
	}
}

// forwardUnreached forwards the parts that are lost since no replica of theirs was heard
// from. It reports whether the request is not to be ended yet.
func (x *run) forwardUnreached(now time.Time) bool {
	if x.forward.current != nil {
		return true
	}
	if !x.mayForward() || x.forward.sends >= maxUnreachedForwards || !now.Before(x.deadline) {
		return false
	}
	if state := x.relay.Uplink.Connect(); state == zluplink.Connectable {
		return false
	} else if state == zluplink.Unsure {
		// WakeAll or the next wakeup follows.
		x.forward.unsureUntil = now.Add(connectWait)
		return len(x.forwardableParts(true)) > 0
	}
	return x.sendForward(now, zldecision.ReasonUnreached, x.forwardableParts(true))
}

// forwardableParts returns the parts that another VM may serve: those without an answer
// that may run once more. With onlyUnreached set, those whose sends were all left without
// an answer.
func (x *run) forwardableParts(onlyUnreached bool) []forwardedPart {
	var list []forwardedPart
	for i := range x.parts {
		p := &x.parts[i]
		switch {
		case p.response != nil || p.heard && p.lostReason != "":
		case onlyUnreached && (p.sends == 0 || p.heard || p.lostReason == "" || !x.relay.helps(p.service)):
		case p.mayHaveRun > 0 && !x.route.Idempotent || p.mayHaveRun >= max(x.route.Attempts, 1):
		default:
			list = append(list, forwardedPart{
				part:       p,
				lostReason: p.lostReason,
			})
		}
	}
	return list
}

// sendForward forwards parts to another VM and reports whether it did: too few parts are of
// no use, and there may be no VM left to ask.
func (x *run) sendForward(now time.Time, reason zldecision.Reason, parts []forwardedPart) bool {
	needed := x.minParts() - x.answeredParts()
	if !x.route.IsSharded() {
		needed = 1
	}
	if len(parts) == 0 || len(parts) < needed || x.forward.exhausted {
		return false
	}
	peer, ok := x.relay.Peers.Choose(now, x.forward.tried)
	if !ok {
		x.forward.exhausted = true
		return false
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.ctx))
	a := &forwardAttempt{
		peer:   peer,
		parts:  parts,
		cancel: cancel,
		reason: reason,
		sentAt: now,
	}
	f := &Forward{
		Origin:   x.relay.VM,
		Request:  x.req,
		Version:  x.relay.forwardVersion(x.view),
		MinParts: max(needed, 1),
		Counted:  x.counted,

		Suspected: x.crash.suspected,
	}
	for _, fp := range parts {
		f.Parts = append(f.Parts, fp.part.beginForward())
	}
	x.admitted = true
	x.forward.current = a
	x.forward.sends++
	x.relay.note(&zldecision.Forwarded{
		Subject: x.subject(),
		Reason:  reason,
		To:      peer.VM,
		Parts:   len(parts),
	})
	x.relay.sends.Add(1)
	go x.runForward(ctx, a, f)
	return true
}

// runForward sends a forward and delivers its result to the run. It runs in its own
// goroutine.
func (x *run) runForward(ctx context.Context, a *forwardAttempt, f *Forward) {
	defer x.relay.sends.Done()
	defer a.cancel()
	reply := x.relay.Forwarder.Forward(ctx, a.peer, &ForwardCall{
		Forward: f,
		Start: func() bool {
			return x.relay.Timer.Now().Before(x.deadline) && a.state.CompareAndSwap(attemptPending, attemptStarted)
		},
		Alive: func() {
			if a.aliveAt.Swap(int64(max(x.relay.Timer.Now().Sub(a.sentAt), 1))) == 0 {
				x.wake()
			}
		},
	})
	x.forward.results <- forwardResult{
		attempt: a,
		reply:   reply,
	}
}

// beginForward leaves a part to another VM. Sends that have not started are abandoned;
// others go on, as they may be answered after all.
func (p *part) beginForward() ForwardPart {
	for _, a := range append([]*attempt(nil), p.inFlight...) {
		if a.abandon() {
			p.removeUnstarted(a)
		}
	}
	p.leaveQueue()
	p.lostReason = ""
	p.forwarded = true
	return ForwardPart{
		Service:    p.service,
		Arrivals:   p.arrivals,
		MayHaveRun: p.mayHaveRun,
	}
}

// silentAt returns when the VM counts as silent.
func (a *forwardAttempt) silentAt() time.Time {
	at := a.sentAt.Add(acceptTimeout)
	if alive := a.aliveAt.Load(); alive > 0 {
		at = a.sentAt.Add(time.Duration(alive) + silenceTimeout)
	}
	if a.recheckAt.After(at) {
		at = a.recheckAt
	}
	return at
}

// forwardWakeup returns when stepForward must be called next, or zero.
func (x *run) forwardWakeup() time.Time {
	a := x.forward.current
	if a == nil && !x.forward.unsureUntil.IsZero() {
		return x.forward.unsureUntil
	}
	if a == nil || !x.route.Idempotent && a.state.Load() == attemptStarted {
		return time.Time{}
	}
	return a.silentAt()
}

// checkSilence ends the forward under way if the VM is silent. A request that may run only
// once is not sent to another VM then, and waits on, as does one that nothing else serves: the
// VM may only have stalled.
func (x *run) checkSilence(now time.Time) {
	a := x.forward.current
	if a == nil || now.Before(a.silentAt()) {
		return
	}
	if a.state.Load() == attemptStarted && !x.hasAlternative(now, a) {
		a.recheckAt = now.Add(placementRetryInterval)
		return
	}
	abandoned := a.state.CompareAndSwap(attemptPending, attemptAbandoned)
	if !abandoned && !x.route.Idempotent {
		return
	}
	a.cancel()
	runs := 0
	if !abandoned {
		runs = x.runsWithoutReply(a)
	}
	x.endForward(now, a, zlpeerbalancer.OutcomeFailed, zldecision.ReasonSilent, runs)
}

// hasAlternative reports whether the request may be served otherwise if a forward that is
// under way is given up.
func (x *run) hasAlternative(now time.Time, a *forwardAttempt) bool {
	if !x.relay.Uplink.IsLost() {
		return true
	}
	runs := x.runsWithoutReply(a)
	for _, fp := range a.parts {
		if fp.part.response == nil && fp.part.mayHaveRun+runs >= max(x.route.Attempts, 1) {
			return false
		}
	}
	tried := append(slices.Clone(x.forward.tried), a.peer.VM)
	return x.forward.sends < maxForwards && x.relay.Peers.HasOther(now, tried)
}

// runsWithoutReply returns on how many replicas of each part a forward without a reply may
// have run. A VM that has not accepted it finds the connection closed before it sends more
// than once; one that has may have used all attempts.
func (x *run) runsWithoutReply(a *forwardAttempt) int {
	if a.aliveAt.Load() == 0 {
		return 1
	}
	return max(x.route.Attempts, 1)
}

// endForward takes back the parts of a forward that another VM did not serve; each may have
// run on so many replicas.
func (x *run) endForward(now time.Time, a *forwardAttempt, outcome zlpeerbalancer.Outcome, reason zldecision.Reason, runs int) {
	x.forward.current = nil
	x.forward.tried = append(x.forward.tried, a.peer.VM)
	x.relay.Peers.Done(now, a.peer.VM, outcome)
	for _, fp := range a.parts {
		p := fp.part
		p.forwarded = false
		p.nextPlacement = time.Time{}
		p.arrivals += runs
		p.mayHaveRun += runs
		if p.response == nil {
			p.lostReason = fp.lostReason
		}
	}
	x.relay.note(&zldecision.Declined{
		Subject: x.subject(),
		Reason:  reason,
		VM:      a.peer.VM,
	})
}

// cancelForward ends the forward under way.
func (x *run) cancelForward() {
	a := x.forward.current
	if a == nil {
		return
	}
	x.forward.current = nil
	a.state.CompareAndSwap(attemptPending, attemptAbandoned)
	a.cancel()
	x.relay.Peers.Done(x.relay.Timer.Now(), a.peer.VM, zlpeerbalancer.OutcomeGivenUp)
}
