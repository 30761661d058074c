package zlfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// editRoster applies change to the roster at the platform and adopts the result.
func (f *Fleet) editRoster(ctx context.Context, change func(zlroster.Roster) zlroster.Roster) error {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	sentAt := f.Timer.Now()
	r, err := f.Store.Edit(ctx, change)
	if err != nil {
		f.Count(CountRosterWrite, "failed")
		if f.due("edit failed", time.Minute, sentAt) {
			f.Log.Warn().Err(err).Msg("fleet: writing the roster failed")
			f.Events.Add(zlevent.Event{
				At:   sentAt,
				Kind: zlevent.KindRosterFault,
				Why:  err.Error(),
			})
		}
		return err
	}
	f.adopt(r, f.Timer.Now())
	// The write, or the read that made it unnecessary, took effect after sentAt.
	f.leases.Confirm(r.Epoch, sentAt)
	return nil
}

// join adds this daemon to the roster whenever it is not a member.
func (f *Fleet) join(ctx context.Context, now time.Time) {
	if f.Member() || f.leaving.Load() || !f.due("join", f.joinPeriod(), now) {
		return
	}
	f.spawn("join", func() {
		err := f.editRoster(ctx, func(r zlroster.Roster) zlroster.Roster {
			return r.With(f.Self, time.Now())
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		if err != nil {
			f.joinBackoff = min(max(2*f.joinBackoff, writePeriod), maxJoinBackoff)
			f.nextRun["join"] = f.Timer.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(f.joinBackoff)))
			return
		}
		kind := zlevent.KindJoined
		if f.joined {
			kind = zlevent.KindRejoined
			f.joinBackoff = min(max(2*f.joinBackoff, writePeriod), maxJoinBackoff)
		}
		f.joined = true
		f.Events.Add(zlevent.Event{
			At:      f.Timer.Now(),
			Kind:    kind,
			Subject: string(f.Self.VM),
		})
	})
}

// joinPeriod returns the minimum time between two attempts to join. It grows each
// time that others removed this daemon or the platform failed.
func (f *Fleet) joinPeriod() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.joinBackoff, writePeriod)
}

// removeDepartures removes the members from the roster that the failure detector
// considers dead or silent.
func (f *Fleet) removeDepartures(ctx context.Context, now time.Time) {
	departures := f.detector.Departures(now)
	if len(departures) == 0 || !f.Member() || !f.due("write out", writePeriod, now) {
		return
	}
	f.spawn("write out", func() {
		var removed []zlroster.Departure
		err := f.editRoster(ctx, func(r zlroster.Roster) zlroster.Roster {
			removed = removed[:0]
			for _, d := range departures {
				if m, ok := r.Member(d.VM); ok && m.Incarnation == d.Incarnation {
					removed = append(removed, d)
				}
			}
			return r.Without(removed, time.Now())
		})
		if err != nil {
			return
		}
		for _, d := range removed {
			f.Count(CountRosterWrite, string(d.Exit))
			f.Log.Warn().Str("vm", string(d.VM)).Str("how", string(d.Exit)).Msg("fleet: removed a member from the roster")
			f.Events.Add(zlevent.Event{
				At:      f.Timer.Now(),
				Kind:    zlevent.KindWrittenOut,
				Subject: string(d.VM),
				Why:     string(d.Exit),
			})
		}
	})
}

// Leave marks this daemon as leaving in the roster, so that others take over its
// upstreams. Run repeats the write if it fails or is overwritten.
func (f *Fleet) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	f.Events.Add(zlevent.Event{
		At:      f.Timer.Now(),
		Kind:    zlevent.KindLeaving,
		Subject: string(f.Self.VM),
	})
	return f.writeLeaving(ctx)
}

// writeLeaving writes the leaving state of this daemon, if it is a member.
func (f *Fleet) writeLeaving(ctx context.Context) error {
	self := f.Self
	self.State = zlroster.StateLeaving
	return f.editRoster(ctx, func(r zlroster.Roster) zlroster.Roster {
		if m, ok := r.Member(self.VM); !ok || m.Incarnation != self.Incarnation {
			return r
		}
		return r.With(self, time.Now())
	})
}

// repeatLeaving writes the leaving state again while it is missing in the roster.
func (f *Fleet) repeatLeaving(ctx context.Context, now time.Time) {
	if !f.leaving.Load() {
		return
	}
	f.mu.Lock()
	m, ok := f.roster.Member(f.Self.VM)
	f.mu.Unlock()
	if !ok || m.Incarnation != f.Self.Incarnation || m.State == zlroster.StateLeaving || !f.due("leave", writePeriod, now) {
		return
	}
	f.spawn("leave", func() {
		_ = f.writeLeaving(ctx)
	})
}

// drainPollPeriod is the time between two checks for requests in flight.
const drainPollPeriod = 20 * time.Millisecond

// releaseWriteTimeout bounds the write that removes this daemon from the roster.
const releaseWriteTimeout = 3 * time.Second

// Release gives up all leases, waits until no request of this daemon is in flight at
// any upstream, and removes the daemon from the roster. It returns false if ctx ended
// during the wait or the write failed; others then wait until the lease expires.
func (f *Fleet) Release(ctx context.Context) bool {
	f.leases.Stop()
	drained := false
	for !drained {
		drained = f.allDrained()
		if !drained && !f.Timer.Sleep(ctx.Done(), drainPollPeriod) {
			break
		}
	}
	exit := zlroster.ExitReleased
	if !drained {
		exit = zlroster.ExitSilent
	}
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWriteTimeout)
	defer cancel()
	err := f.editRoster(writeCtx, func(r zlroster.Roster) zlroster.Roster {
		return r.Without([]zlroster.Departure{{
			Member: f.Self,
			Exit:   exit,
		}}, time.Now())
	})
	f.Events.Add(zlevent.Event{
		At:      f.Timer.Now(),
		Kind:    zlevent.KindLeft,
		Subject: string(f.Self.VM),
		Why:     string(exit),
	})
	return drained && err == nil
}

// allDrained calls Drained for all upstreams and reports whether all are drained.
func (f *Fleet) allDrained() bool {
	f.mu.Lock()
	names := f.homeUpstreams()
	f.mu.Unlock()
	all := true
	for _, u := range names {
		all = f.Drained(u) && all
	}
	return all
}

// describeChange returns the epoch, the size and the last change of a roster as
// text.
func describeChange(r zlroster.Roster) string {
	text := fmt.Sprintf("epoch %d, %d members", r.Epoch, len(r.Members))
	if len(r.Changes) == 0 {
		return text
	}
	last := r.Changes[len(r.Changes)-1]
	for _, d := range last.Out {
		text += fmt.Sprintf(", %s %s", d.VM, d.Exit)
	}
	if len(last.In) > 0 {
		text += ", in: " + joinNames(last.In)
	}
	return text
}

// joinNames returns the names separated by spaces.
func joinNames(vms []zlunit.VM) string {
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, string(vm))
	}
	return strings.Join(names, " ")
}
