package zlrelay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlplace"
)

// The states of an attempt.
const (
	attemptPending int32 = iota
	attemptStarted
	attemptAbandoned
)

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

// isOverdue reports whether the attempt waits past its time, or past the usual
// time at a replica where another request is overdue.
func (a *attempt) isOverdue(now time.Time) bool {
	if !now.Before(a.due) {
		return true
	}
	return now.Sub(a.placed) >= a.part.run.expected && a.spot.Flight.ReplicaOverdue()
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
	v := a.part.run.relay.Book.Current()
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
