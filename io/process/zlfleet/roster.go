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

// edit writes the roster and adopts the result.
func (f *Fleet) edit(ctx context.Context, change func(zlroster.Roster) zlroster.Roster) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := f.Timer.Now()
	r, err := f.Store.Edit(ctx, change)
	if err != nil {
		f.Count(CountRoster, "failed")
		if f.due("edit failed", time.Minute, asked) {
			f.Log.Warn().Err(err).Msg("fleet: writing the roster failed")
			f.Events.Add(zlevent.Event{
				At:   asked,
				Kind: zlevent.KindRosterFault,
				Why:  err.Error(),
			})
		}
		return err
	}
	f.adopt(r, f.Timer.Now())
	// The write, or the read that made it needless, took effect after asked.
	f.tenure.Confirm(r.Epoch, asked)
	return nil
}

// join enters this daemon into the roster whenever it is not in it.
func (f *Fleet) join(ctx context.Context, now time.Time) {
	if f.Member() || f.leaving.Load() || !f.due("join", f.joinPause(), now) {
		return
	}
	f.spawn("join", func() {
		err := f.edit(ctx, func(r zlroster.Roster) zlroster.Roster {
			return r.With(f.Self, time.Now())
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		if err != nil {
			f.joinWait = min(max(2*f.joinWait, writePeriod), joinPauseMax)
			f.next["join"] = f.Timer.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(f.joinWait)))
			return
		}
		kind := zlevent.KindJoined
		if f.joined {
			kind = zlevent.KindRejoined
			f.joinWait = min(max(2*f.joinWait, writePeriod), joinPauseMax)
		}
		f.joined = true
		f.Events.Add(zlevent.Event{
			At:      f.Timer.Now(),
			Kind:    kind,
			Subject: string(f.Self.VM),
		})
	})
}

// joinPause is the pause before the next try to join, longer with each time
// that others wrote this daemon out or the platform failed.
func (f *Fleet) joinPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.joinWait, writePeriod)
}

// writeOut writes out the members that are judged to be dead or silent.
func (f *Fleet) writeOut(ctx context.Context, now time.Time) {
	gone := f.detector.Departures(now)
	if len(gone) == 0 || !f.Member() || !f.due("write out", writePeriod, now) {
		return
	}
	f.spawn("write out", func() {
		var done []zlroster.Departure
		err := f.edit(ctx, func(r zlroster.Roster) zlroster.Roster {
			done = done[:0]
			for _, d := range gone {
				if m, ok := r.Member(d.VM); ok && m.Incarnation == d.Incarnation {
					done = append(done, d)
				}
			}
			return r.Without(done, time.Now())
		})
		if err != nil {
			return
		}
		for _, d := range done {
			f.Count(CountRoster, string(d.Exit))
			f.Log.Warn().Str("vm", string(d.VM)).Str("how", string(d.Exit)).Msg("fleet: member written out")
			f.Events.Add(zlevent.Event{
				At:      f.Timer.Now(),
				Kind:    zlevent.KindWrittenOut,
				Subject: string(d.VM),
				Why:     string(d.Exit),
			})
		}
	})
}

// Leave says in the roster that this daemon is leaving, so that others take
// over its upstreams.
func (f *Fleet) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	f.Events.Add(zlevent.Event{
		At:      f.Timer.Now(),
		Kind:    zlevent.KindLeaving,
		Subject: string(f.Self.VM),
	})
	return f.sayLeaving(ctx)
}

func (f *Fleet) sayLeaving(ctx context.Context) error {
	self := f.Self
	self.State = zlroster.StateLeaving
	return f.edit(ctx, func(r zlroster.Roster) zlroster.Roster {
		if m, ok := r.Member(self.VM); !ok || m.Incarnation != self.Incarnation {
			return r
		}
		return r.With(self, time.Now())
	})
}

// leave says again that this daemon is leaving if the roster lacks that.
func (f *Fleet) leave(ctx context.Context, now time.Time) {
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
		_ = f.sayLeaving(ctx)
	})
}

// drainPoll is the time between two looks at what is still in flight.
const drainPoll = 20 * time.Millisecond

// lastWrite bounds the write that records the release.
const lastWrite = 3 * time.Second

// Release gives up everything, waits until nothing is in flight at any
// upstream and writes this daemon out of the roster. It reports false if ctx
// ended before that.
func (f *Fleet) Release(ctx context.Context) bool {
	f.tenure.Stop()
	drained := false
	for !drained {
		drained = f.allDrained()
		if !drained && !f.Timer.Sleep(ctx.Done(), drainPoll) {
			break
		}
	}
	how := zlroster.ExitReleased
	if !drained {
		how = zlroster.ExitSilent
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWrite)
	defer cancel()
	err := f.edit(last, func(r zlroster.Roster) zlroster.Roster {
		return r.Without([]zlroster.Departure{{
			Member: f.Self,
			Exit:   how,
		}}, time.Now())
	})
	f.Events.Add(zlevent.Event{
		At:      f.Timer.Now(),
		Kind:    zlevent.KindLeft,
		Subject: string(f.Self.VM),
		Why:     string(how),
	})
	return drained && err == nil
}

func (f *Fleet) allDrained() bool {
	f.mu.Lock()
	names := f.upstreams()
	f.mu.Unlock()
	all := true
	for _, u := range names {
		all = f.Drained(u) && all
	}
	return all
}

// describe names the last change of a roster.
func describe(r zlroster.Roster) string {
	text := fmt.Sprintf("epoch %d, %d members", r.Epoch, len(r.Members))
	if len(r.Changes) == 0 {
		return text
	}
	last := r.Changes[len(r.Changes)-1]
	for _, d := range last.Out {
		text += fmt.Sprintf(", %s %s", d.VM, d.Exit)
	}
	if len(last.In) > 0 {
		text += ", in: " + join(last.In)
	}
	return text
}

func join(vms []zlunit.VM) string {
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, string(vm))
	}
	return strings.Join(names, " ")
}
