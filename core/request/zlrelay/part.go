package zlrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
	"zinnialock/core/process/zlspend"
	"zinnialock/core/process/zlunit"
)

// part is what one service has to give to a request.
type part struct {
	run     *run
	service zlunit.Service
	window  *zlspend.Window

	// whole is the good answer; failure is the replica's own failure, kept
	// for the caller where nothing better comes.
	whole   *Whole
	failure *Whole
	served  zlunit.Upstream
	// lost tells that no answer will come, and why.
	lost zldecision.Reason

	live  []*attempt
	tried []zlunit.Upstream
	// arrivals counts sends that reached a replica; mayHaveRun counts those
	// not proven not to have run.
	arrivals   int
	mayHaveRun int
	sends      int
	// starved tells that the budget did not bear a second send.
	starved bool
	why     zldecision.Reason
	waiter  *zlplace.Waiter
	lookAt  time.Time
}

// The states of an attempt.
const (
	attemptPending int32 = iota
	attemptStarted
	attemptAbandoned
)

// probeTime is how long a request that marks a paused replica may go on after
// its answer is no longer needed: over twice the pauses of the platform's pages
// (150 ms).
const probeTime = 400 * time.Millisecond

// attempt is one send to one replica.
type attempt struct {
	part   *part
	spot   *zlplace.Spot
	cancel context.CancelFunc
	state  atomic.Int32
	placed time.Time
	// due is when the attempt is overdue; counted tells that it was paid from
	// the budget; overdue that it passed due.
	due     time.Time
	counted bool
	overdue bool
}

func (p *part) open() bool {
	return p.whole == nil && p.lost == ""
}

// step sends what is due.
func (p *part) step(now time.Time) {
	if !p.open() {
		return
	}
	if len(p.live) == 0 {
		if p.lookAt.IsZero() || !now.Before(p.lookAt) || p.waiter != nil {
			p.send(now, p.why)
		}
		return
	}
	a := p.live[len(p.live)-1]
	if !a.overdue && a.isOverdue(now) {
		a.overdue = true
		if !now.Before(a.due) {
			a.spot.Flight.Overdue(now)
		}
	}
	if a.overdue && (p.lookAt.IsZero() || !now.Before(p.lookAt)) {
		p.second(now, a)
	}
}

// isOverdue reports whether the attempt waits past its time, or past the usual
// time at a replica where another request is overdue.
func (a *attempt) isOverdue(now time.Time) bool {
	if !now.Before(a.due) {
		return true
	}
	return now.Sub(a.placed) >= a.part.run.expected && a.spot.Flight.ReplicaOverdue()
}

// next is when step has something to do, or zero.
func (p *part) next() time.Time {
	if !p.open() {
		return time.Time{}
	}
	if len(p.live) == 0 || p.live[len(p.live)-1].overdue {
		return p.lookAt
	}
	return p.live[len(p.live)-1].due
}

// second sends to another replica while one is being waited for.
func (p *part) second(now time.Time, first *attempt) {
	x := p.run
	p.lookAt = now.Add(lookAgain)
	reason := zldecision.ReasonOverdue
	if now.Before(first.due) {
		reason = zldecision.ReasonSharedPause
	}
	if first.abandon() {
		p.forgo(first)
		p.send(now, zldecision.ReasonUnreached)
		return
	}
	if !x.route.Idempotent {
		p.lookAt = x.limit
		return
	}
	if p.mayHaveRun >= x.route.Attempts || p.sends >= sendsMost {
		p.lookAt = x.limit
		return
	}
	p.place(now, reason, first.spot.Entry.ID, true)
}

// send looks for a replica after the first send, or after one that ended.
func (p *part) send(now time.Time, why zldecision.Reason) {
	x := p.run
	if p.sends >= sendsMost || p.mayHaveRun >= max(x.route.Attempts, 1) {
		p.lose(zldecision.ReasonAttempts)
		return
	}
	if p.mayHaveRun > 0 && !x.route.Idempotent {
		p.lose(zldecision.ReasonBroken)
		return
	}
	from := zlunit.Upstream("")
	if len(p.tried) > 0 {
		from = p.tried[len(p.tried)-1]
	}
	p.place(now, why, from, false)
}

// place chooses a replica and sends; spare tells that another is being waited
// for.
func (p *part) place(now time.Time, why zldecision.Reason, from zlunit.Upstream, spare bool) {
	x := p.run
	extra := p.arrivals > 0 || spare
	if extra && !p.window.Take(now, x.reserve(spare)) {
		p.starve(now, why, from, spare)
		return
	}
	spot, result := x.relay.Placer.Place(x.relay.Book.View(), now, &zlplace.Want{
		Service: p.service,
		Skip:    p.tried,
		Spare:   spare,
		Target:  x.target,
		Nudge:   x.nudge,
	})
	if result == zlplace.Placed {
		p.lookAt = time.Time{}
		p.leave()
		p.launch(now, spot, extra)
		if why != "" {
			x.relay.note(&zldecision.Sent{
				Subject:  x.subject(),
				Reason:   why,
				Service:  p.service,
				From:     from,
				To:       spot.Entry.ID,
				InFlight: spot.InFlight,
				Budget:   p.window.Left(now),
			})
		}
		return
	}
	if extra {
		p.window.Return(now)
	}
	switch {
	case spare:
	case result == zlplace.NoReplica:
		p.lose(zldecision.ReasonNoReplica)
	default:
		p.wait(now)
	}
}

// starve notes a second send that the budget does not bear. Where nothing else
// is under way, it is asked again until the answer is due.
func (p *part) starve(now time.Time, why zldecision.Reason, from zlunit.Upstream, spare bool) {
	if !spare {
		p.lookAt = now.Add(lookAgain)
		if !now.Before(p.run.placeEnd()) {
			p.lose(zldecision.ReasonNoBudget)
		}
	}
	if p.starved {
		return
	}
	p.starved = true
	p.run.relay.note(&zldecision.Held{
		Subject: p.run.subject(),
		Reason:  why,
		Service: p.service,
		From:    from,
		Budget:  p.window.Left(now),
	})
}

// wait queues for a place.
func (p *part) wait(now time.Time) {
	x := p.run
	if !now.Before(x.placeEnd()) {
		p.lose(zldecision.ReasonNoRoom)
		return
	}
	p.lookAt = now.Add(lookAgain)
	if p.waiter != nil {
		return
	}
	p.waiter = &zlplace.Waiter{
		Service: p.service,
		Rank:    x.rank(),
		Due:     x.answerBy,
		Nudge:   x.nudge,
	}
	x.relay.Placer.Wait(p.waiter)
}

// leave ends a wait for a place.
func (p *part) leave() {
	if p.waiter != nil {
		p.run.relay.Placer.Leave(p.waiter)
		p.waiter = nil
	}
}

func (p *part) lose(why zldecision.Reason) {
	p.lost = why
	p.leave()
}

func (p *part) launch(now time.Time, spot *zlplace.Spot, counted bool) {
	x := p.run
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.ctx))
	a := &attempt{
		part:    p,
		spot:    spot,
		cancel:  cancel,
		placed:  now,
		due:     now.Add(x.delay),
		counted: counted,
	}
	p.live = append(p.live, a)
	p.tried = append(p.tried, spot.Entry.ID)
	p.sends++
	p.arrivals++
	p.mayHaveRun++
	x.sends++
	x.relay.sends.Add(1)
	go a.send(ctx, spot.Far && x.relay.Placer.IsScarce(x.view.Table.Services[p.service]))
}

// send runs in its own goroutine.
func (a *attempt) send(ctx context.Context, brief bool) {
	x := a.part.run
	defer x.relay.sends.Done()
	defer a.cancel()
	reply := x.relay.Sender.Send(ctx, a.spot.Entry, &Call{
		Request:  x.req,
		Deadline: x.limit,
		Start:    a.begin,
		Brief:    brief,
	})
	a.score(ctx, reply)
	x.results <- result{
		attempt: a,
		reply:   reply,
	}
}

// begin allows the first byte, unless the attempt was abandoned or its replica
// may no longer be used.
func (a *attempt) begin() bool {
	x := a.part.run
	now := x.relay.Timer.Now()
	if !now.Before(x.limit) || !a.usable() {
		return false
	}
	if !a.state.CompareAndSwap(attemptPending, attemptStarted) {
		return false
	}
	a.spot.Flight.Sent(now)
	return true
}

func (a *attempt) usable() bool {
	v := a.part.run.relay.Book.View()
	if v.Out[a.spot.Entry.DataCentre] {
		return false
	}
	for _, e := range v.Replicas[a.part.service] {
		if e.ID == a.spot.Entry.ID {
			return e.Born == a.spot.Entry.Born
		}
	}
	return false
}

// abandon ends an attempt that sent nothing yet, and reports whether it had not.
func (a *attempt) abandon() bool {
	return a.state.CompareAndSwap(attemptPending, attemptAbandoned)
}

// release ends an attempt that is no longer needed. One that marks a paused
// replica goes on for a while, since its end tells that the pause is over.
func (a *attempt) release() {
	if a.spot.Flight.IsProbe() {
		a.part.run.relay.Timer.Call(probeTime, a.cancel)
		return
	}
	a.cancel()
}

// forgo ends an attempt that was abandoned: it neither arrived nor ran.
func (p *part) forgo(a *attempt) {
	a.cancel()
	p.drop(a)
	p.mayHaveRun--
	p.arrivals--
	if a.counted {
		p.window.Return(p.run.relay.Timer.Now())
	}
}

// score tells the replica's record how the attempt ended.
func (a *attempt) score(ctx context.Context, reply Reply) {
	x := a.part.run
	now := x.relay.Timer.Now()
	started := a.state.Load() == attemptStarted
	outcome := zlplace.OutcomeServed
	hint := time.Duration(0)
	switch rep := reply.(type) {
	case *Whole:
		if rep.Status >= http.StatusInternalServerError {
			outcome = zlplace.OutcomeFailed
		} else {
			x.profile.Observe(now, now.Sub(a.placed))
		}
	case *NotRun:
		hint = rep.Hint
		outcome = zlplace.OutcomeRefused
		switch {
		case !rep.Arrived:
			outcome = zlplace.OutcomeUnreached
		case rep.Reason == zldecision.ReasonWrongReplica:
			outcome = zlplace.OutcomeMoved
		}
	case *Broken:
		outcome = zlplace.OutcomeFailed
	}
	if ctx.Err() != nil && outcome != zlplace.OutcomeServed {
		outcome = zlplace.OutcomeGivenUp
		if started && a.overdueBy(now) {
			x.profile.Observe(now, now.Sub(a.placed))
		}
	}
	a.spot.Flight.Done(now, outcome, x.expected, hint)
}

func (a *attempt) overdueBy(now time.Time) bool {
	return !now.Before(a.due)
}
