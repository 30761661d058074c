package zlrelay

import (
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
	spot, result := x.relay.Placer.Place(x.relay.Book.Current(), now, &zlplace.Want{
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
