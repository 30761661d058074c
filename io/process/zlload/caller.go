package zlload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlfront"
)

const (
	// slack is what a caller waits beyond its deadline for the answer to travel.
	slack = 2 * time.Second
	// maxAttempts bounds how often a caller sends one request; daemons that
	// cannot be connected to do not count.
	maxAttempts = 4
	// pause is the time before an attempt when a daemon gave no advice.
	pause = 50 * time.Millisecond
)

// caller sends one request, through the next daemon after a failure.
type caller struct {
	load     *Load
	client   *http.Client
	tally    *tally
	shape    Shape
	once     bool
	number   int
	intended time.Time
	// patience, if not 0, is when the caller hangs up on its first attempt.
	patience time.Duration
}

// Attempt is what a caller saw of one attempt.
type Attempt struct {
	Target string
	// Answer is nil if none came; Err tells why.
	Answer *zlfront.Answer
	Err    error
	// HungUp tells that the caller did not wait for the answer.
	HungUp bool
}

// ran returns what the attempt said of the run.
func (a *Attempt) ran() zlfront.Ran {
	switch {
	case a.Answer == nil:
		return zlfront.RanUnknown
	case a.Answer.Refusal != nil:
		return a.Answer.Refusal.Ran
	default:
		return zlfront.RanYes
	}
}

// unreached tells that no connection came about.
func (a *Attempt) unreached() bool {
	var op *net.OpError
	return errors.As(a.Err, &op) && op.Op == "dial"
}

func (c *caller) run() {
	req := &zlfront.Request{
		RequestID:  c.id(),
		Service:    c.shape.Service,
		Kind:       c.shape.Kind,
		Text:       fmt.Sprintf("text-%d-%d", c.load.Seed, c.number),
		DeadlineMs: c.shape.Deadline.Milliseconds(),

		LeastCoverage: c.shape.Least,
	}
	if c.once {
		idempotent := false
		req.Idempotent = &idempotent
	}
	entry := &Entry{
		Request: req,
		Once:    c.once,
	}
	reached := 0
	for try := 0; reached < maxAttempts && try < maxAttempts+len(c.load.Targets); try++ {
		a := c.attempt(req, (c.number+try)%len(c.load.Targets))
		entry.Attempts = append(entry.Attempts, a)
		if !c.again(&a) {
			break
		}
		if !a.unreached() {
			reached++
			req.Retry = true
		}
		time.Sleep(wait(&a))
	}
	var faults []string
	last := &entry.Attempts[len(entry.Attempts)-1]
	if last.Answer != nil && c.load.Checker != nil {
		faults = c.load.Checker.Check(req, last.Answer)
	}
	c.tally.add(entry, faults, time.Since(c.intended), c.intended)
}

// again tells whether a caller would send the request once more: through
// another daemon if it heard nothing, and if it must know the outcome.
func (c *caller) again(a *Attempt) bool {
	if a.Answer == nil {
		return true
	}
	refusal := a.Answer.Refusal
	return c.once && refusal != nil && refusal.Ran != zlfront.RanYes
}

func wait(a *Attempt) time.Duration {
	if a.Answer == nil || a.Answer.Refusal.RetryAfterMs == 0 {
		return pause
	}
	return time.Duration(a.Answer.Refusal.RetryAfterMs) * time.Millisecond
}

func (c *caller) attempt(req *zlfront.Request, target int) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), c.shape.Deadline+slack)
	defer cancel()
	a := Attempt{
		Target: c.load.Targets[target],
	}
	if c.patience > 0 && !req.Retry {
		ctx, cancel = context.WithTimeout(ctx, c.patience)
		defer cancel()
	}
	a.Answer, a.Err = Post(ctx, c.client, a.Target, req)
	a.HungUp = c.patience > 0 && errors.Is(a.Err, context.DeadlineExceeded)
	return a
}

// Post sends one query to a daemon and decodes the answer, whatever its status.
func Post(ctx context.Context, client *http.Client, target string, req *zlfront.Request) (*zlfront.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+zlfront.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without it the transport cannot send the request a second time.
	r.GetBody = nil
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var a zlfront.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	if a.Outcome != zlquery.OutcomeDone && a.Refusal == nil {
		return nil, fmt.Errorf("status %d without an answer or a refusal", resp.StatusCode)
	}
	return &a, nil
}
