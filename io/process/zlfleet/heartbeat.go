package zlfleet

import (
	"context"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlfailuredetector"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// Answer processes the heartbeat of another daemon and returns the reply.
func (f *Fleet) Answer(b *zllease.Heartbeat) zllease.HeartbeatReply {
	now := f.Timer.Now()
	f.detector.Heard(zlroster.Key{
		VM:          b.VM,
		Incarnation: b.Incarnation,
	}, now)
	reply := f.leases.Answer(b, f.Drained, now)
	reply.Seen = f.detector.Seen(b.Suspected, now)
	return reply
}

// sendHeartbeats sends the heartbeats to the guarantors that are due.
func (f *Fleet) sendHeartbeats(ctx context.Context, now time.Time) {
	for _, v := range f.leases.Guarantors() {
		if f.due("beat "+string(v.VM), heartbeatPeriod, now) {
			f.sendHeartbeat(ctx, v, nil)
		}
	}
}

// sendReleaseQueries asks the earlier holders of this daemon's upstreams, and those
// who may know of them, whether the upstreams were released.
func (f *Fleet) sendReleaseQueries(ctx context.Context, now time.Time) {
	for _, q := range f.leases.ReleaseQueries(now) {
		if f.due("ask "+string(q.To.VM), releaseQueryPeriod, now) {
			f.sendHeartbeat(ctx, q.To, q.Released)
		}
	}
}

// sendHeartbeat sends one heartbeat to a member and processes the reply. It is a
// regular heartbeat if released is nil, a release query for the upstreams in released,
// or a probe if released is empty.
func (f *Fleet) sendHeartbeat(ctx context.Context, to zlroster.Member, released []zlunit.Upstream) {
	name := "beat"
	if released != nil {
		name = "question"
	}
	f.spawn(name+" "+string(to.VM), func() {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		b := f.leases.Heartbeat()
		b.Released = released
		sentAt := f.Timer.Now()
		for _, m := range f.detector.Suspects(sentAt) {
			b.Suspected = append(b.Suspected, m.VM)
		}
		reply, err := f.Peers.Heartbeat(ctx, to.Peer, &b)
		if err != nil {
			f.Count(CountHeartbeatFailure, name)
			f.checkRefused(ctx, to)
			return
		}
		now := f.Timer.Now()
		f.leases.HandleReply(to.Key(), b.Epoch, sentAt, reply, now)
		if reply.VM != to.VM && reply.Incarnation > to.Incarnation {
			f.detector.Refused(to.Key())
			f.recordDead(to, "its address now belongs to "+string(reply.VM))
		}
		f.detector.Heard(zlroster.Key{
			VM:          reply.VM,
			Incarnation: reply.Incarnation,
		}, now)
		for _, vm := range reply.Seen {
			f.detector.HeardElsewhere(vm, now)
		}
	})
}

// checkRefused checks whether a daemon that did not reply has ended, which a refused
// connection proves.
func (f *Fleet) checkRefused(ctx context.Context, m zlroster.Member) {
	if ctx.Err() == context.Canceled {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), heartbeatTimeout)
	defer cancel()
	if !f.Peers.ConnectionRefused(ctx, m.Peer) {
		return
	}
	f.detector.Refused(m.Key())
	f.recordDead(m, "no process listens at "+m.Peer)
}

// recordDead records proof that the process of m has ended, with an event at most
// once a minute.
func (f *Fleet) recordDead(m zlroster.Member, why string) {
	now := f.Timer.Now()
	f.leases.MarkDead(m.Key(), now)
	if f.due("dead "+string(m.VM), time.Minute, now) {
		f.Events.Add(zlevent.Event{
			At:      now,
			Kind:    zlevent.KindDead,
			Subject: string(m.VM),
			Why:     why,
		})
	}
}

// checkSuspects sends heartbeats to suspected members. It also reads the platform's
// list of VMs if a member is suspected or a release query is open, since a VM that
// is missing from the list may prove that a process has ended.
func (f *Fleet) checkSuspects(ctx context.Context, now time.Time) {
	suspects := f.detector.Suspects(now)
	for _, m := range suspects {
		if f.due("probe "+string(m.VM), heartbeatPeriod, now) {
			f.sendHeartbeat(ctx, m, []zlunit.Upstream{})
		}
	}
	queries := f.leases.ReleaseQueries(now)
	if len(suspects) == 0 && len(queries) == 0 || !f.due("list", vmListPeriod, now) {
		return
	}
	f.spawn("list", func() {
		vms, err := f.Store.VMs(ctx)
		if err != nil {
			f.Log.Warn().Err(err).Msg("fleet: reading the list of VMs failed; trying again later")
			return
		}
		wall := time.Now()
		f.detector.Listed(vms, wall)
		for _, q := range queries {
			if zlfailuredetector.ProvenDeadByList(q.To.Key(), f.Self.VM, vms, wall) {
				f.recordDead(q.To, "its VM is not in the platform's list of VMs")
			}
		}
	})
}

// confirmLease reads the roster from the platform if this daemon is not a member, or
// if half of the lease has passed without an extension by the guarantors.
func (f *Fleet) confirmLease(ctx context.Context, now time.Time) {
	if f.Member() && f.leases.Remaining(now) > zllease.DefaultLease/2 {
		return
	}
	if f.leaving.Load() && !f.Member() || !f.due("confirm", confirmPeriod, now) {
		return
	}
	f.spawn("confirm", func() {
		sentAt := f.Timer.Now()
		r, err := f.Store.Roster(ctx)
		if err != nil {
			if f.due("confirm failed", time.Minute, sentAt) {
				f.Log.Warn().Err(err).Msg("fleet: confirming the roster with the platform failed; trying again later")
				f.Events.Add(zlevent.Event{
					At:   sentAt,
					Kind: zlevent.KindPlatform,
					Why:  err.Error(),
				})
			}
			return
		}
		f.adopt(r, sentAt)
		f.leases.Confirm(r.Epoch, sentAt)
	})
}
