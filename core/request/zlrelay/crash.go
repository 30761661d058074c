package zlrelay

import (
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// minReplicasLeft is how many replicas a service must have left for a send that may end one
// of them.
const minReplicasLeft = 2

// crashState is what a run knows of replicas that ended while they had its request.
type crashState struct {
	// fingerprint is that of the request; 0 until it is needed.
	fingerprint zlunit.Fingerprint
	// round counts the rounds of sends; see zlquarantine.Round.
	round int
	// suspected is set while the request may go to one replica at a time only: canary is
	// that send, nil if none is under way.
	suspected bool
	canary    *attempt
	// trial is set if the request is the trial of zlquarantine.Trial.
	trial bool
	// answered is set once a replica answered the request, so that it does not crash them.
	answered bool
}

func (x *run) fingerprint() zlunit.Fingerprint {
	if x.crash.fingerprint == 0 {
		x.crash.fingerprint = x.req.Fingerprint()
	}
	return x.crash.fingerprint
}

// begin returns what may be done with the request at its start.
func (x *run) begin() zlquarantine.Verdict {
	l := x.relay.Quarantine
	if l == nil || !l.Active() {
		return zlquarantine.Unsuspected
	}
	v := l.Begin(x.fingerprint())
	x.crash.suspected = x.crash.suspected || v == zlquarantine.Suspected || v == zlquarantine.Trial
	x.crash.trial = v == zlquarantine.Trial
	return v
}

// verdict returns what may be done with the request.
func (x *run) verdict() zlquarantine.Verdict {
	l := x.relay.Quarantine
	if l == nil || x.crash.answered || x.crash.trial || !l.Active() {
		return zlquarantine.Unsuspected
	}
	return l.Verdict(x.fingerprint())
}

// mayCrash reports whether a send must wait or may not be made, since the request is
// suspected to crash replicas, or is known to.
func (p *part) mayCrash(now time.Time) bool {
	x := p.run
	switch x.verdict() {
	case zlquarantine.Quarantined:
		p.markLost(zldecision.ReasonQuarantined)
		return true
	case zlquarantine.Suspected:
		x.crash.suspected = true
	default:
	}
	if !x.crash.suspected || x.crash.canary == nil && x.mayBeCanary(p, now) {
		return false
	}
	p.nextPlacement = now.Add(placementRetryInterval)
	if x.crash.canary == nil && !now.Before(x.placementEnd()) {
		p.markLost(zldecision.ReasonNoReplica)
	}
	return true
}

// mayBeCanary reports whether the next send of a suspected request may be one of this part:
// no other open part has more replicas left, and it is not the last one of its service,
// which other requests need.
func (x *run) mayBeCanary(p *part, now time.Time) bool {
	if x.route.IsSharded() {
		own := x.relay.Placer.SoundReplicas(x.view, now, p.service)
		if own < minReplicasLeft {
			return false
		}
		for i := range x.parts {
			other := &x.parts[i]
			if other == p || !other.isOpen() || len(other.inFlight) > 0 {
				continue
			}
			left := x.relay.Placer.SoundReplicas(x.view, now, other.service)
			if left > own || left == own && x.canaryScore(other) > x.canaryScore(p) {
				return false
			}
		}
	}
	return true
}

// canaryScore orders parts whose services have as many replicas left, differently for each
// request: several may be under way at once, at different VMs.
func (x *run) canaryScore(p *part) uint64 {
	return xxhash.Sum64String(string(x.req.ID) + " " + string(p.service))
}

// noteLaunch notes a send.
func (x *run) noteLaunch(a *attempt) {
	a.round = x.crash.round
	if x.crash.suspected {
		x.crash.canary = a
	}
}

// noteReply updates what is known of the request from the reply to a send.
func (x *run) noteReply(a *attempt, reply Reply) {
	l := x.relay.Quarantine
	if l == nil {
		return
	}
	if x.crash.canary == a {
		x.crash.canary = nil
		x.searchNow()
	}
	switch rep := reply.(type) {
	case *Response:
		if !x.crash.answered {
			x.crash.answered = true
			x.crash.suspected = false
			l.Clear(x.fingerprint())
		}
	case *Unknown:
		if rep.ReplicaEnded && !x.crash.answered && a.part.isOpen() {
			x.recordCrash(a)
		}
	}
}

// recordCrash notes that the replica of a send ended. The sends of one round count once: none
// of them was made in the knowledge of another's end.
func (x *run) recordCrash(a *attempt) {
	x.relay.Quarantine.RecordCrash(&zlquarantine.Crash{
		Fingerprint: x.fingerprint(),
		Round:       roundOf(x.req.ID, a.round),
		Upstream:    a.placement.Entry.ID,
		Incarnation: a.placement.Entry.Incarnation,
	})
	if a.round == x.crash.round {
		x.crash.round++
	}
	x.crash.suspected = true
}

// roundOf identifies a round of an attempt for all VMs.
func roundOf(id zlunit.RequestID, round int) zlquarantine.Round {
	return zlquarantine.Round(xxhash.Sum64String(string(id)) + uint64(round))
}

// searchNow lets all parts that wait for the canary search for a replica at once.
func (x *run) searchNow() {
	for i := range x.parts {
		x.parts[i].nextPlacement = time.Time{}
	}
}
