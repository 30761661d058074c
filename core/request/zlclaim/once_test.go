package zlclaim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

const (
	historySeeds = 60
	historyIDs   = 20
	maxAttempts  = 5
)

// attempt is what a caller observed of one attempt.
type attempt struct {
	outcome zlquery.Outcome
	// run is the number of the run that the answer belongs to, or 0 if there is
	// no answer.
	run int
}

// The states of the model other than the number of a run.
const (
	notRunYet = 0
	ranUnseen = -1
)

// onceModel is the specification for one id. Its state is the run that the
// request has had, if any. An attempt with an unknown outcome may or may not
// have run; every other outcome is exact, and all answers belong to the same
// run.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[zlunit.RequestID][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(zlunit.RequestID)
			byID[id] = append(byID[id], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range byID {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{notRunYet} },
	Step: func(state, _, output any) []any {
		ran := state.(int)
		a := output.(attempt)
		switch {
		case a.outcome == zlquery.OutcomeUnknown && ran == notRunYet:
			return []any{notRunYet, ranUnseen}
		case a.outcome == zlquery.OutcomeUnknown:
			return []any{ran}
		case a.outcome == zlquery.OutcomeNotRun && ran == notRunYet:
			return []any{notRunYet}
		case a.outcome == zlquery.OutcomeDone && a.run == 0 && ran != notRunYet:
			return []any{ran}
		case a.outcome == zlquery.OutcomeDone && a.run != 0 && (ran == notRunYet || ran == ranUnseen || ran == a.run):
			return []any{a.run}
		default:
			return nil
		}
	},
}

// history simulates callers that retry through several daemons while faults
// occur.
type history struct {
	mu      sync.Mutex
	random  *rand.Rand
	store   *fakeStore
	writers [3]*Writers
	guards  [3]*Guard
	runs    map[zlunit.RequestID]int
	allRuns int
	ops     []porcupine.Operation
	wg      sync.WaitGroup
}

func (h *history) float() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.Float64()
}

func (h *history) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// pausingClaimer is a Claimer whose daemon is sometimes paused after the reply.
type pausingClaimer struct {
	Claimer
	h *history
}

func (p *pausingClaimer) Claim(ctx context.Context, claimReq ClaimRequest) (Reply, error) {
	reply, err := p.Claimer.Claim(ctx, claimReq)
	if p.h.float() < 0.1 {
		time.Sleep(3 * time.Second)
	}
	return reply, err
}

// FetchAnswer implements AnswerFetcher. A daemon that was killed has lost its answers.
func (h *history) FetchAnswer(_ context.Context, holder zlunit.VM, ref Ref) *zlquery.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.guards {
		if g.Self == holder {
			return g.AnswerCache.Get(ref)
		}
	}
	return nil
}

func (h *history) start(i int) {
	h.writers[i] = newWriters(h.store)
	h.guards[i] = newGuard(zlunit.VM(fmt.Sprint("vm", i)), &pausingClaimer{
		Claimer: h.writers[i],
		h:       h,
	}, answererFunc(h.run))
	h.guards[i].AnswerFetcher = h
}

// run is the Answerer behind the guard. It runs the request or proves that it
// did not.
func (h *history) run(_ context.Context, req *zlquery.Request) *zlquery.Answer {
	a := &zlquery.Answer{
		ID:      req.ID,
		Outcome: zlquery.OutcomeNotRun,
		Reason:  zlquery.ReasonShed,
	}
	if h.float() < 0.3 {
		return a
	}
	time.Sleep(time.Duration(h.intN(200)) * time.Millisecond)
	h.mu.Lock()
	h.runs[req.ID]++
	h.allRuns++
	a.Version = zlunit.IndexVersion(h.allRuns)
	h.mu.Unlock()
	a.Outcome = zlquery.OutcomeDone
	a.Reason = zlquery.ReasonNone
	if h.float() < 0.3 {
		a.Outcome = zlquery.OutcomeUnknown
	}
	return a
}

// sendUntilDone sends one id until it is done, through a random daemon each
// time.
func (h *history) sendUntilDone(n int) {
	time.Sleep(time.Duration(h.intN(4000)) * time.Millisecond)
	id := NewID(time.Now())
	for attemptNo := range maxAttempts {
		h.mu.Lock()
		guard := h.guards[h.random.IntN(len(h.guards))]
		h.mu.Unlock()
		call := time.Now().UnixNano()
		a := guard.Answer(context.Background(), &zlquery.Request{
			ID:       id,
			Retry:    attemptNo > 0,
			Deadline: time.Now().Add(2 * time.Second),
		})
		end := time.Now().UnixNano()
		if h.float() < 0.3 {
			// The answer is lost on the way to the caller.
			a = &zlquery.Answer{
				Outcome: zlquery.OutcomeUnknown,
			}
		}
		if a.Outcome == zlquery.OutcomeUnknown {
			// The attempt may take effect at any later time.
			end = time.Now().Add(time.Hour).UnixNano() + int64(n*maxAttempts+attemptNo)
		}
		h.mu.Lock()
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: n*maxAttempts + attemptNo,
			Input:    id,
			Call:     call,
			Output: attempt{
				outcome: a.Outcome,
				run:     int(a.Version),
			},
			Return: end,
		})
		h.mu.Unlock()
		if a.Outcome == zlquery.OutcomeDone {
			return
		}
		time.Sleep(time.Duration(h.intN(1000)) * time.Millisecond)
	}
}

// injectFaults causes faults for a while, then ends them.
func (h *history) injectFaults() {
	for range 25 {
		time.Sleep(time.Duration(h.intN(500)) * time.Millisecond)
		down, lose, late := h.float() < 0.2, h.float()*0.4, h.float()*0.2
		h.store.set(func() { h.store.down, h.store.lose, h.store.late = down, lose, late })
		if i := h.intN(6); i < len(h.guards) {
			h.kill(i)
		}
	}
	h.store.set(func() { h.store.down, h.store.lose, h.store.late = false, 0, 0 })
}

// kill stops a daemon at once, without recording outcomes, and starts it again.
func (h *history) kill(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	guard, writers := h.guards[i], h.writers[i]
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	h.wg.Go(func() {
		writers.Close()
		guard.Close(ended)
	})
	h.start(i)
}

func runHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{
		random: rand.New(rand.NewPCG(seed, 2)),
		store:  newFakeStore(seed),
		runs:   map[zlunit.RequestID]int{},
	}
	synctest.Test(t, func(*testing.T) {
		for i := range h.guards {
			h.start(i)
		}
		for n := range historyIDs {
			h.wg.Go(func() { h.sendUntilDone(n) })
		}
		h.injectFaults()
		h.wg.Wait()
		for i := range h.guards {
			h.guards[i].Close(context.Background())
			h.writers[i].Close()
		}
		time.Sleep(2 * time.Second)
	})
	return h
}

// TestHistoriesRunOnce checks that no request runs twice, and that what callers
// observe is consistent with onceModel, while daemons crash and pause and the
// store fails.
func TestHistoriesRunOnce(t *testing.T) {
	model := onceModel.ToModel()
	outcomes := map[zlquery.Outcome]int{}
	doneWithoutAnswer := 0
	for seed := uint64(1); seed <= historySeeds; seed++ {
		h := runHistory(t, seed)
		for id, n := range h.runs {
			if n > 1 {
				t.Errorf("seed %d: request %s ran %d times, want at most once", seed, id, n)
			}
		}
		for _, o := range h.ops {
			if a := o.Output.(attempt); a.outcome == zlquery.OutcomeDone && a.run == 0 {
				doneWithoutAnswer++
			}
			outcomes[o.Output.(attempt).outcome]++
		}
		if !porcupine.CheckOperations(model, h.ops) {
			t.Errorf("seed %d: the history is not linearizable with respect to onceModel", seed)
		}
	}
	for _, o := range []zlquery.Outcome{zlquery.OutcomeDone, zlquery.OutcomeNotRun, zlquery.OutcomeUnknown} {
		if outcomes[o] < historySeeds {
			t.Errorf("got only %d attempts with outcome %s, want at least one for each seed on average", outcomes[o], o)
		}
	}
	t.Logf("outcomes over %d seeds: %v; %d attempts were done without an answer", historySeeds, outcomes, doneWithoutAnswer)
}

// TestModelRefusesWrongHistories checks that onceModel rejects invalid
// histories, so that TestHistoriesRunOnce can fail.
func TestModelRefusesWrongHistories(t *testing.T) {
	first := attempt{
		outcome: zlquery.OutcomeDone,
		run:     1,
	}
	second := attempt{
		outcome: zlquery.OutcomeDone,
		run:     2,
	}
	notRun := attempt{
		outcome: zlquery.OutcomeNotRun,
	}
	doneWithoutAnswer := attempt{
		outcome: zlquery.OutcomeDone,
	}
	for _, invalid := range [][]attempt{{first, second}, {first, notRun}, {notRun, doneWithoutAnswer}} {
		var ops []porcupine.Operation
		for i, a := range invalid {
			ops = append(ops, porcupine.Operation{
				ClientId: i,
				Input:    zlunit.RequestID("r"),
				Call:     int64(10 * i),
				Output:   a,
				Return:   int64(10*i + 5),
			})
		}
		if porcupine.CheckOperations(onceModel.ToModel(), ops) {
			t.Errorf("the model accepted the invalid history %v", invalid)
		}
	}
}
