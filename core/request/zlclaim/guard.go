package zlclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// Answerer runs a request.
type Answerer interface {
	Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer
}

// Recaller fetches the answer that a daemon gave to an earlier attempt, or nil
// if that daemon cannot be reached or no longer has it.
type Recaller interface {
	Recall(ctx context.Context, holder zlunit.VM, ref Ref) *zlquery.Answer
}

// Counter counts refusals and verdicts by reason.
type Counter interface {
	Count(what string, reason zlquery.Reason)
}

const (
	// recallWait bounds the wait for an earlier attempt's answer.
	recallWait = 100 * time.Millisecond
	// storeRetryAfter tells a caller when to come back after the store failed.
	storeRetryAfter = time.Second
	// releaseRetryAfter is the least time after which a caller may come back
	// with an id that did not run: the log has to say so first.
	releaseRetryAfter = 200 * time.Millisecond
	// heldRetryAfter tells a caller when to ask for the outcome of an attempt
	// that may still run.
	heldRetryAfter = 500 * time.Millisecond
)

// Guard stands before an Answerer and lets each non-idempotent request through
// at most once. The exported fields must be set before Run.
type Guard struct {
	Self     zlunit.VM
	Next     Answerer
	Claimer  Claimer
	Recaller Recaller
	Timer    *zltimer.Service
	Counter  Counter
	// Answers keeps what this daemon answered.
	Answers *Answers
	// Traces, if set, gets a trace of each claim.
	Traces zltrace.Sink

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Run makes the guard ready; Close ends it.
func (g *Guard) Run() {
	g.ctx, g.cancel = context.WithCancel(context.Background())
}

// Close waits until the outcomes of ended attempts are in the log, at the
// latest until ctx ends. The outcome of an attempt that ends later is lost.
func (g *Guard) Close(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	stop := context.AfterFunc(ctx, g.cancel)
	defer stop()
	g.wg.Wait()
	g.cancel()
}

// Answer runs req, or tells what became of it.
func (g *Guard) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	if req.Idempotent {
		return g.owned(req, g.Next.Answer(ctx, req))
	}
	if a := g.Answers.Find(RefOf(req)); a != nil {
		return a
	}
	ask := Ask{
		ID:     req.ID,
		Nonce:  Nonce(rand.Uint64()),
		Holder: g.Self,
	}
	start := g.Timer.Now()
	valid := start.Add(g.life(req))
	// A caller that hangs up sends the request again, and is to get the answer
	// of this run then: so the claim and the run go on.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(g.ctx, cancel)
	defer stop()
	reply, err := g.claim(ctx, ask, valid)
	took := g.Timer.Now().Sub(start)
	a := g.act(ctx, req, ask, valid, reply, err)
	g.trace(req, a, start, took)
	return a
}

// act does what the reply to the ask allows.
func (g *Guard) act(ctx context.Context, req *zlquery.Request, ask Ask, valid time.Time, reply Reply, err error) *zlquery.Answer {
	if err != nil {
		g.record(ask, StateNotRun)
		return g.owned(req, g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonClaimStore, storeRetryAfter))
	}
	switch reply.Verdict {
	case VerdictFresh:
		return g.run(ctx, req, ask, valid)
	case VerdictDone:
		if a := g.recall(ctx, req, reply.Holder); a != nil {
			return a
		}
		return g.refuse(req, zlquery.OutcomeDone, zlquery.ReasonClaimed, 0)
	case VerdictTooOld:
		return g.refuse(req, zlquery.OutcomeUnknown, zlquery.ReasonClaimTooOld, 0)
	case VerdictAhead:
		return g.owned(req, g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonClaimAhead, 0))
	default:
		// It may have ended since, its outcome not yet in the log.
		if a := g.recall(ctx, req, reply.Holder); a != nil {
			return a
		}
		return g.refuse(req, zlquery.OutcomeUnknown, zlquery.ReasonClaimed, heldRetryAfter)
	}
}

// life returns how long a claim of req may be waited for and acted upon.
func (g *Guard) life(req *zlquery.Request) time.Duration {
	if req.Deadline.IsZero() {
		return claimLife
	}
	return min(claimLife, req.Deadline.Sub(g.Timer.Now()))
}

func (g *Guard) claim(ctx context.Context, ask Ask, valid time.Time) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, valid.Sub(g.Timer.Now()))
	defer cancel()
	return g.Claimer.Claim(ctx, ask)
}

// run runs a request whose claim is fresh. A daemon that was paused since it
// asked finds the claim's time over and sends nothing.
func (g *Guard) run(ctx context.Context, req *zlquery.Request, ask Ask, valid time.Time) *zlquery.Answer {
	if !g.Timer.Now().Before(valid) {
		g.record(ask, StateNotRun)
		return g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonDeadline, releaseRetryAfter)
	}
	a := g.Next.Answer(ctx, req)
	switch a.Outcome {
	case zlquery.OutcomeDone:
		g.Answers.Keep(RefOf(req), a)
		g.record(ask, StateDone)
	case zlquery.OutcomeNotRun:
		g.record(ask, StateNotRun)
		a.RetryAfter = max(a.RetryAfter, releaseRetryAfter)
	case zlquery.OutcomeUnknown:
		// The claim stays: nobody may run this id again.
	}
	return a
}

// record puts the outcome of an attempt in the log in the background. Nothing
// but the attempt itself may have recorded one, so the order does not matter.
func (g *Guard) record(ask Ask, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.Counter.Count("outcomeLost", zlquery.ReasonStopping)
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, outcomeLife)
		defer cancel()
		err := g.Claimer.Record(ctx, Outcome{
			ID:    ask.ID,
			Nonce: ask.Nonce,
			State: state,
		})
		if err != nil {
			g.Counter.Count("outcomeLost", zlquery.ReasonClaimStore)
		}
	})
}

// recall returns the answer of the attempt of another daemon, or nil.
func (g *Guard) recall(ctx context.Context, req *zlquery.Request, holder zlunit.VM) *zlquery.Answer {
	if holder == g.Self {
		return g.Answers.Find(RefOf(req))
	}
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	a := g.Recaller.Recall(ctx, holder, RefOf(req))
	if a == nil || a.ID != req.ID {
		return nil
	}
	return a
}

// owned makes a proof of "not run" fit what the caller knows: it speaks of
// this attempt only, so it is no proof where an earlier attempt may have run.
func (g *Guard) owned(req *zlquery.Request, a *zlquery.Answer) *zlquery.Answer {
	if req.Retry && a.Outcome == zlquery.OutcomeNotRun {
		a.Outcome = zlquery.OutcomeUnknown
		g.Counter.Count("unproved", a.Reason)
	}
	return a
}

// trace records the claim: how long it took and, if it ended the request, why.
func (g *Guard) trace(req *zlquery.Request, a *zlquery.Answer, start time.Time, took time.Duration) {
	if g.Traces == nil {
		return
	}
	g.Traces.Keep(&zltrace.Trace{
		Request: req.ID,
		Service: req.Service,
		Kind:    req.Kind,
		Start:   start,
		Took:    g.Timer.Now().Sub(start),
		Decisions: []zltrace.Decision{
			{
				At:     took,
				What:   zltrace.WhatClaim,
				Reason: a.Reason,
				For:    took,
			},
		},
		Outcome:  a.Outcome,
		Reason:   a.Reason,
		Version:  a.Version,
		Coverage: a.Coverage,
		Complete: a.Complete,
	})
}

func (g *Guard) refuse(req *zlquery.Request, outcome zlquery.Outcome, reason zlquery.Reason, after time.Duration) *zlquery.Answer {
	g.Counter.Count("refusal", reason)
	return &zlquery.Answer{
		ID:         req.ID,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: after,
	}
}
