package zlrelay

import (
	"slices"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
)

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
