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

// Answer answers the beat of another daemon.
func (f *Fleet) Answer(b *zllease.Heartbeat) zllease.HeartbeatReply {
	now := f.Timer.Now()
	f.detector.Heard(zlroster.Key{
		VM:          b.VM,
		Incarnation: b.Incarnation,
	}, now)
	e := f.tenure.Answer(b, f.Drained, now)
	e.Seen = f.detector.Seen(b.Suspected, now)
	return e
}

// beat sends the heartbeats that are due.
func (f *Fleet) beat(ctx context.Context, now time.Time) {
	for _, v := range f.tenure.Guarantors() {
		if f.due("beat "+string(v.VM), beatPeriod, now) {
			f.ask(ctx, v, nil)
		}
	}
}

// question asks those whose leases stand in the way of what is held here.
func (f *Fleet) question(ctx context.Context, now time.Time) {
	for _, q := range f.tenure.ReleaseQueries(now) {
		if f.due("ask "+string(q.To.VM), askPeriod, now) {
			f.ask(ctx, q.To, q.Released)
		}
	}
}

// ask sends one beat and takes in the answer.
func (f *Fleet) ask(ctx context.Context, to zlroster.Member, released []zlunit.Upstream) {
	name := "beat"
	if released != nil {
		name = "question"
	}
	f.spawn(name+" "+string(to.VM), func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		b := f.tenure.Heartbeat()
		b.Released = released
		asked := f.Timer.Now()
		for _, m := range f.detector.Suspects(asked) {
			b.Suspected = append(b.Suspected, m.VM)
		}
		e, err := f.Peers.Beat(ctx, to.Peer, &b)
		if err != nil {
			f.Count(CountBeat, name)
			f.suspect(ctx, to)
			return
		}
		now := f.Timer.Now()
		f.tenure.HandleReply(to.Key(), b.Epoch, asked, e, now)
		if e.VM != to.VM && e.Incarnation > to.Incarnation {
			f.detector.Refused(to.Key())
			f.dead(to, "its address is now that of "+string(e.VM))
		}
		f.detector.Heard(zlroster.Key{
			VM:          e.VM,
			Incarnation: e.Incarnation,
		}, now)
		for _, vm := range e.Seen {
			f.detector.HeardElsewhere(vm, now)
		}
	})
}

// suspect looks for proof that a daemon that did not answer is dead.
func (f *Fleet) suspect(ctx context.Context, m zlroster.Member) {
	if ctx.Err() == context.Canceled {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	if !f.Peers.Refused(ctx, m.Peer) {
		return
	}
	f.detector.Refused(m.Key())
	f.dead(m, "nobody listens at "+m.Peer)
}

func (f *Fleet) dead(m zlroster.Member, why string) {
	now := f.Timer.Now()
	f.tenure.MarkDead(m.Key(), now)
	if f.due("dead "+string(m.VM), time.Minute, now) {
		f.Events.Add(zlevent.Event{
			At:      now,
			Kind:    zlevent.KindDead,
			Subject: string(m.VM),
			Why:     why,
		})
	}
}

// doubt asks silent members directly and looks into the list of VMs.
func (f *Fleet) doubt(ctx context.Context, now time.Time) {
	doubted := f.detector.Suspects(now)
	for _, m := range doubted {
		if f.due("probe "+string(m.VM), beatPeriod, now) {
			f.ask(ctx, m, []zlunit.Upstream{})
		}
	}
	questions := f.tenure.ReleaseQueries(now)
	if len(doubted) == 0 && len(questions) == 0 || !f.due("list", listPeriod, now) {
		return
	}
	f.spawn("list", func() {
		vms, err := f.Store.VMs(ctx)
		if err != nil {
			f.Log.Warn().Err(err).Msg("fleet: reading the list of VMs failed")
			return
		}
		wall := time.Now()
		f.detector.Listed(vms, wall)
		for _, q := range questions {
			if zlfailuredetector.ProvenDeadByList(q.To.Key(), f.Self.VM, vms, wall) {
				f.dead(q.To, "the platform's list of VMs lacks it")
			}
		}
	})
}

// confirm asks the platform when the vouchers do not keep up the lease.
func (f *Fleet) confirm(ctx context.Context, now time.Time) {
	if f.Member() && f.tenure.Remaining(now) > zllease.DefaultLease/2 {
		return
	}
	if f.leaving.Load() && !f.Member() || !f.due("confirm", confirmPeriod, now) {
		return
	}
	f.spawn("confirm", func() {
		asked := f.Timer.Now()
		r, err := f.Store.Roster(ctx)
		if err != nil {
			if f.due("confirm failed", time.Minute, asked) {
				f.Log.Warn().Err(err).Msg("fleet: the platform does not confirm the roster")
				f.Events.Add(zlevent.Event{
					At:   asked,
					Kind: zlevent.KindPlatform,
					Why:  err.Error(),
				})
			}
			return
		}
		f.adopt(r, asked)
		f.tenure.Confirm(r.Epoch, asked)
	})
}
