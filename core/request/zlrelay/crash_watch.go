package zlrelay

import (
	"sync"
	"time"
)

// crashWatchTime is how long the sends of a suspected request are left under way after its
// end, so that it is seen whether their replicas end.
const crashWatchTime = 250 * time.Millisecond

// crashWatch passes the results of sends to their run, and after its end to the ledger.
//
// Load pattern: a replica ends later than the request that it ran. If that goes unnoticed,
// the sends of the next attempt are placed as if the replica were there.
type crashWatch struct {
	mu sync.Mutex
	// ended is set once the run takes no more results.
	ended bool
}

// deliver passes the result of a send to the run.
func (x *run) deliver(res result) {
	x.watch.mu.Lock()
	defer x.watch.mu.Unlock()
	if !x.watch.ended {
		x.results <- res
		return
	}
	x.noteLateReply(res)
}

// endWatched ends the run. The sends that may still end replicas are cancelled later.
func (x *run) endWatched() {
	isWatched := x.relay.Quarantine != nil && x.crash.suspected && !x.crash.answered
	now := x.relay.Timer.Now()
	for i := range x.parts {
		p := &x.parts[i]
		for _, a := range p.inFlight {
			switch {
			case isWatched && !a.abandon():
				x.relay.Timer.AfterFunc(crashWatchTime, a.cancel)
			case x.ctx.Err() == nil:
				a.cancelSuperseded(now)
			default:
				// The caller left, which ends every send.
				a.cancel()
			}
		}
		p.leaveQueue()
	}
	x.watch.mu.Lock()
	defer x.watch.mu.Unlock()
	x.watch.ended = true
	for {
		select {
		case res := <-x.results:
			x.noteLateReply(res)
		default:
			return
		}
	}
}

// noteLateReply updates what is known of the request from a reply that came after its end.
// The caller holds the watch's mu.
func (x *run) noteLateReply(res result) {
	l := x.relay.Quarantine
	if l == nil || x.crash.answered {
		return
	}
	switch rep := res.reply.(type) {
	case *Response:
		x.crash.answered = true
		l.Clear(x.fingerprint())
	case *Unknown:
		if rep.ReplicaEnded {
			x.recordCrash(res.attempt)
		}
	default:
	}
}
