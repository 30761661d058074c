package zlrelay

import (
	"context"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/version/zlregistry"
)

// verifiers is how many VMs, besides the one that saw it, find out whether a replica ended:
// one may be cut off, and one restarting.
const verifiers = 3

// maxOthersTried is how many other replicas are tried to tell a replica that ended from a lost
// path.
const maxOthersTried = 4

// VerifyCrash finds out whether a replica ended, as a broken connection to it may show.
// A VM does not verify what it saw itself, unless it is the only one: if the network resets
// the connections between a VM and a replica, that VM cannot tell it from a crash.
func (r *Relay) VerifyCrash(c zlquarantine.Crash, own bool) {
	rank, others := 0, 0
	if r.Peers != nil {
		rank, others = r.Peers.Rank(r.VM, string(c.Upstream))
	}
	// The VM that saw the crash may be among the first ones.
	if own != (others == 0) || rank > verifiers {
		return
	}
	go r.tryReplica(c)
}

// incarnationOf returns a crash's replica.
func incarnationOf(c *zlquarantine.Crash) zlquarantine.Replica {
	return zlquarantine.Replica{
		Upstream:    c.Upstream,
		Incarnation: c.Incarnation,
	}
}

// tryReplica tries to connect to the replica of a crash, and to another one, so that a lost
// path is not taken for a replica that ended.
func (r *Relay) tryReplica(c zlquarantine.Crash) {
	if r.Connector == nil || r.Uplink != nil && r.Uplink.IsLost() {
		return
	}
	entry := findReplica(r.Registry.Current(), &c)
	if entry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r.Connector.Connect(ctx, entry) {
		r.Quarantine.ReportAlive(incarnationOf(&c))
		return
	}
	// Nothing at all says less than a refusal: the replica's machine may be cut off.
	if ctx.Err() == nil && r.reachesOthers() {
		r.Quarantine.ReportEnded(incarnationOf(&c))
	}
}

// reachesOthers reports whether a connection to any of a few replicas can be opened. One is
// not enough: the request may have ended a third of them.
func (r *Relay) reachesOthers() bool {
	for range maxOthersTried {
		if r.Probe() {
			return true
		}
	}
	return false
}

// CheckRegistry finds out which replicas of crashes the registry shows to have ended: they are
// listed with another start, or not any more. It is called periodically.
func (r *Relay) CheckRegistry() {
	view := r.Registry.Current()
	for _, c := range r.Quarantine.Unconfirmed() {
		if findReplica(view, &c) == nil {
			r.Quarantine.ReportEnded(incarnationOf(&c))
		}
	}
}

// findReplica returns the entry of the incarnation of a crash, or nil.
func findReplica(v *zlregistry.View, c *zlquarantine.Crash) *zlregistry.Entry {
	for _, list := range v.Replicas {
		for _, e := range list {
			if e.ID == c.Upstream && e.Incarnation == c.Incarnation {
				return e
			}
		}
	}
	return nil
}
