package zluplink

import (
	"sync"
	"sync/atomic"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
)

// Try reports whether a request may be sent to replicas although none has answered since
// the uplink was lost. The caller must call EndTry at its end. A request that is not
// idempotent is only used if no other comes, since it is lost if the try fails.
func (t *Tracker) Try(idempotent bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != reached || t.trying {
		return false
	}
	if !idempotent && t.Timer.Now().Sub(t.reachedAt) < idempotentWait {
		return false
	}
	t.trying = true
	return true
}

// EndTry ends a try. Without an answer meanwhile the uplink is lost as before.
func (t *Tracker) EndTry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trying = false
	if t.state == reached {
		t.state = lost
		t.probePause = min(2*t.probePause, maxProbeInterval)
		t.nextProbe = t.Timer.Now().Add(t.probePause)
	}
}

// Run probes while the uplink is lost, until done is closed.
func (t *Tracker) Run(done <-chan struct{}) {
	var probes sync.WaitGroup
	defer probes.Wait()
	t.Timer.Subscribe(done, probeInterval, 0, func() {
		t.mu.Lock()
		now := t.Timer.Now()
		mustProbe := (t.state == lost || t.connect == Unconnectable) && !now.Before(t.nextProbe)
		if mustProbe {
			t.nextProbe = now.Add(probeInterval)
		}
		t.mu.Unlock()
		if !mustProbe {
			return
		}
		probes.Go(func() {
			if !t.Probe() {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.state == lost {
				t.state = reached
				t.reachedAt = t.Timer.Now()
			}
		})
	})
}

// noteUnconnected notes a replica to which no connection could be made. After several, a few
// others are tried, so that replicas that end are told from paths that are cut. The caller
// holds mu.
func (t *Tracker) noteUnconnected(id zlunit.Upstream) {
	if t.unconnected == nil {
		t.unconnected = map[zlunit.Upstream]struct{}{}
	}
	t.unconnected[id] = struct{}{}
	if t.connect != Connectable || len(t.unconnected) < max(min(minFailed, t.Replicas()), 1) || t.Probe == nil {
		return
	}
	t.connect = Unsure
	go t.tryOthers()
}

// probeSeveral tries to connect to a few replicas at once and reports whether any could be.
func (t *Tracker) probeSeveral() bool {
	var group sync.WaitGroup
	var succeeded atomic.Bool
	for range connectTries {
		group.Go(func() {
			if t.Probe() {
				succeeded.Store(true)
			}
		})
	}
	group.Wait()
	return succeeded.Load()
}

// checkBroken decides whether broken connections mean that the uplink is lost: a request that
// crashes replicas breaks as many at once, while others can be connected to.
func (t *Tracker) checkBroken() {
	reached := t.probeSeveral()
	t.mu.Lock()
	isLost := !reached && t.state == connected && (t.isSilent(t.failed) || t.areFewSilent(t.failed))
	if isLost {
		t.setLost(true)
	}
	t.checkingBroken = false
	t.mu.Unlock()
	if isLost {
		t.announceLost()
	}
}

// tryOthers finds out whether no new connection can be made to any replica.
func (t *Tracker) tryOthers() {
	t.probeSeveral()
	t.mu.Lock()
	failed := t.connect == Unsure
	if failed {
		t.connect = Unconnectable
		t.nextProbe = t.Timer.Now()
		t.probePause = probeInterval
	}
	t.mu.Unlock()
	if !failed {
		return
	}
	t.note(&zldecision.Dependency{
		Name:  "replicas",
		State: "unconnectable",
		Why:   "no new connection could be made to several replicas",
	})
	if t.OnLost != nil {
		t.OnLost()
	}
}

// Connected notes that a new connection to a replica was made.
func (t *Tracker) Connected() {
	t.mu.Lock()
	before := t.connect
	t.connect = Connectable
	clear(t.unconnected)
	t.mu.Unlock()
	if before == Unconnectable {
		t.note(&zldecision.Dependency{
			Name:  "replicas",
			State: "connectable",
			Why:   "connection",
		})
	}
}

// Connect returns whether new connections to replicas can be made.
func (t *Tracker) Connect() ConnectState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connect
}
