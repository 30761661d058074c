package zlcoordinator

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zltokenbucket"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlview"
)

const testSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", testSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

const (
	machineHedgeBurst = 4
	machineRetryBurst = 12
)

// machine is the state of a state machine test: it sends queries to one
// Coordinator under random faults and checks every answer.
type machine struct {
	coordinator *Coordinator
	dispatcher  *faultyDispatcher
	marks       *zlmark.Marks
	// firstVersion and lastVersion bound the versions in the catalogue.
	firstVersion zlunit.IndexVersion
	lastVersion  zlunit.IndexVersion
	// queries counts the queries sent.
	queries int
	// causes counts the sub-requests of all queries by cause, without refused
	// hedges.
	causes map[zltrace.Cause]int
	mu     sync.Mutex
}

func newMachine(t *rapid.T) *machine {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &machine{
		dispatcher: &faultyDispatcher{
			seed:         seed,
			faultPercent: rapid.SampledFrom([]int{0, 3, 15, 40}).Draw(t, "wrong"),
			dead:         map[zlunit.VM]bool{},
			goneVersions: map[zlunit.IndexVersion]bool{},
			subs:         map[zlunit.RequestID][]*sentSub{},
		},
		marks:        &zlmark.Marks{},
		firstVersion: 1,
		lastVersion:  1,
		causes:       map[zltrace.Cause]int{},
	}
	all := make([]int, faultCount)
	for i := range all {
		all[i] = i
	}
	for _, kind := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 2, 4, rapid.ID[int]).Draw(t, "kinds") {
		m.dispatcher.faultKinds = append(m.dispatcher.faultKinds, fault(kind))
	}
	var mu sync.Mutex
	picks := rand.New(rand.NewPCG(seed, 2))
	m.coordinator = &Coordinator{
		Timer: &zltimer.Service{},
		Views: &zlview.CurrentView{},
		Router: &zlroute.Router{
			Random: func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return picks.IntN(n)
			},
		},
		Dispatcher: m.dispatcher,
		Counter:    noCounter{},
		Traces:     m,
	}
	p := m.coordinator.profiles.get("s", "k")
	p.hedgeBudget = zltokenbucket.Bucket{
		Burst: machineHedgeBurst,
	}
	p.retryBudget = zltokenbucket.Bucket{
		Burst: machineRetryBurst,
	}
	m.publishView()
	return m
}

// Keep implements zltrace.Sink.
func (m *machine) Keep(t *zltrace.Trace) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, attempt := range t.Attempts {
		if attempt.Cause == zltrace.CauseHedge && attempt.End == zltrace.EndNotRun {
			continue
		}
		m.causes[attempt.Cause]++
	}
}

// publishView stores a view with the current versions and marks.
func (m *machine) publishView() {
	view := versionedView(m.firstVersion, m.lastVersion, m.marks)
	m.coordinator.Views.Store(view)
	m.withLock(func() {
		m.dispatcher.markedOut = map[zlunit.Upstream]bool{}
		for name, u := range view.Upstreams() {
			m.dispatcher.markedOut[name] = m.marks.UpstreamOut(name, u.DataCentre)
		}
	})
	m.coordinator.Views.Confirm(time.Now())
}

// query sends one query and checks its answer. It returns the problems found.
func (m *machine) query(id int, idempotent bool, leastCoverage zlunit.Coverage, allowed time.Duration) []string {
	req := &zlquery.Request{
		ID:            zlunit.RequestID(fmt.Sprintf("r%d", id)),
		Service:       "s",
		Kind:          "k",
		Text:          fmt.Sprintf("text%d", id),
		Idempotent:    idempotent,
		LeastCoverage: leastCoverage,
		Deadline:      time.Now().Add(allowed),
	}
	a := m.coordinator.Answer(context.Background(), req)
	pastDeadline := time.Now().After(req.Deadline)
	m.dispatcher.mu.Lock()
	defer m.dispatcher.mu.Unlock()
	problems := m.check(req, a)
	if pastDeadline {
		problems = append(problems, "answer came after its deadline")
	}
	return append(problems, m.checkSubs(req, a)...)
}

// check checks an answer by itself: its parts, coverage and missing shards.
func (m *machine) check(req *zlquery.Request, a *zlquery.Answer) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf(format, args...))
	}
	if a.ID != req.ID {
		report("got the answer to request %s, want %s", a.ID, req.ID)
	}
	if a.Outcome != zlquery.OutcomeDone {
		if a.Reason == zlquery.ReasonNone || a.RetryAfter <= 0 || len(a.Parts) > 0 {
			report("refusal without a reason or retry delay, or with parts: %+v", a)
		}
		return problems
	}
	n := shardsAt(a.Version)
	sum := 0.0
	seen := map[zlunit.Shard]bool{}
	for _, p := range a.Parts {
		if seen[p.Shard] || p.Version != a.Version || int(p.Shard) >= n {
			report("part %+v is a duplicate or not of version %d", p, a.Version)
		}
		seen[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, []string{rowOf(a.Version, p.Shard, p.Upstream, req.Text)}) {
			report("part %+v has not the rows for %q", p, req.Text)
		}
	}
	if math.Abs(sum/float64(n)-float64(a.Coverage)) > 1e-9 || a.Coverage < req.LeastCoverage {
		report("got coverage %v, want %v and at least %v", a.Coverage, sum/float64(n), req.LeastCoverage)
	}
	if a.Complete != (sum == float64(n)) || len(a.Missing) != n-len(a.Parts) {
		report("got complete %v and %d missing shards with %d of %d parts", a.Complete, len(a.Missing), len(a.Parts), n)
	}
	return problems
}

// checkSubs checks the answer against the record of the sub-requests sent for
// it.
func (m *machine) checkSubs(req *zlquery.Request, a *zlquery.Answer) []string {
	problems := m.dispatcher.problems
	m.dispatcher.problems = nil
	subs := m.dispatcher.subs[req.ID]
	if len(subs) != a.SubRequests {
		problems = append(problems, fmt.Sprintf("answer reports %d sub-requests, want the %d sent", a.SubRequests, len(subs)))
	}
	for _, s := range subs {
		if a.Outcome == zlquery.OutcomeNotRun && s.ran {
			problems = append(problems, fmt.Sprintf("outcome is notRun, but sub-request %+v ran", s.request))
		}
		if !s.replied && !s.cancelled {
			problems = append(problems, fmt.Sprintf("sub-request %+v was neither replied to nor cancelled", s.request))
		}
	}
	return problems
}

// checkBudgets checks the hedges and retries of all queries against their
// budgets.
func (m *machine) checkBudgets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	policy := m.coordinator.Views.Load().Policy("s", "k")
	ordinary := float64(m.causes[zltrace.CauseFirst] + m.causes[zltrace.CauseReplan])
	hedges := float64(m.causes[zltrace.CauseHedge])
	retries := float64(m.causes[zltrace.CauseRetry] + m.causes[zltrace.CauseBypass])
	var problems []string
	if hedges > policy.HedgeShare*ordinary+machineHedgeBurst {
		problems = append(problems, fmt.Sprintf("%v hedges for %v first sub-requests exceed the hedge budget", hedges, ordinary))
	}
	if retries > policy.RetryShare*ordinary+machineRetryBurst {
		problems = append(problems, fmt.Sprintf("%v retries for %v first sub-requests exceed the retry budget", retries, ordinary))
	}
	return problems
}

// actions returns the steps of the state machine by name. The names decide the
// order in which a seed draws them.
func (m *machine) actions() map[string]func(*rapid.T) {
	sendQueries := func(t *rapid.T, together int) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		leastCoverage := zlunit.Coverage(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "least"))
		allowed := rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, time.Second}).Draw(t, "allowed")
		m.coordinator.Views.Confirm(time.Now())
		problems := make([][]string, together)
		var wg sync.WaitGroup
		for i := range together {
			m.queries++
			id := m.queries
			wg.Go(func() {
				problems[i] = m.query(id, idempotent, leastCoverage, allowed)
			})
		}
		wg.Wait()
		if all := slices.Concat(append(problems, m.checkBudgets())...); len(all) > 0 {
			t.Fatalf("%v", all)
		}
	}
	vm := func(t *rapid.T) zlunit.VM {
		return zlunit.VM(fmt.Sprintf("vm%d", rapid.IntRange(0, 2).Draw(t, "vm")))
	}
	return map[string]func(*rapid.T){
		"ask":        func(t *rapid.T) { sendQueries(t, 1) },
		"askMany":    func(t *rapid.T) { sendQueries(t, 5) },
		"die":        func(t *rapid.T) { m.withLock(func() { m.dispatcher.dead[vm(t)] = true }) },
		"revive":     func(t *rapid.T) { m.withLock(func() { delete(m.dispatcher.dead, vm(t)) }) },
		"newVersion": func(*rapid.T) { m.newVersion() },
		"dropOld":    func(*rapid.T) { m.dropOld() },
		"goneMidway": func(t *rapid.T) {
			after := time.Duration(rapid.IntRange(0, 3).Draw(t, "after")) * time.Millisecond
			done := make(chan struct{})
			time.AfterFunc(after, func() {
				defer close(done)
				m.withLock(func() { m.dispatcher.goneVersions[m.lastVersion] = true })
				m.newVersion()
			})
			sendQueries(t, 2)
			<-done
			m.dropOld()
		},
		"mark": func(t *rapid.T) {
			dc := zlunit.DataCentre(fmt.Sprintf("dc%d", rapid.IntRange(0, 2).Draw(t, "dc")))
			m.marks = &zlmark.Marks{
				DataCentres: map[zlunit.DataCentre]zlmark.Mark{
					dc: {},
				},
			}
			m.publishView()
		},
		"unmark": func(*rapid.T) {
			m.marks = &zlmark.Marks{}
			m.publishView()
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *machine) withLock(f func()) {
	m.dispatcher.mu.Lock()
	defer m.dispatcher.mu.Unlock()
	f()
}

func (m *machine) newVersion() {
	m.lastVersion++
	m.publishView()
}

// dropOld makes upstreams drop all versions but the newest. The catalogue still
// lists the previous one.
func (m *machine) dropOld() {
	m.withLock(func() {
		for v := m.firstVersion; v < m.lastVersion; v++ {
			m.dispatcher.goneVersions[v] = true
		}
	})
	m.firstVersion = max(m.lastVersion-1, 1)
	m.publishView()
}

// testInBubble hides the Deadline method of a test, which must not be called in
// a synctest bubble.
type testInBubble struct {
	rapid.TB
}

// TestCoordinatorUnderFaults checks every answer under random faults of
// upstreams and daemons, changes of versions and marks: its parts and coverage
// are true, it is in time, and no request that is not idempotent runs twice.
func TestCoordinatorUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		total := map[zltrace.Cause]int{}
		rapid.Check(testInBubble{
			TB: t,
		}, func(t *rapid.T) {
			m := newMachine(t)
			t.Repeat(m.actions())
			for cause, n := range m.causes {
				total[cause] += n
			}
		})
		// Without any sub-request of one of these causes, the run does not test
		// it.
		for _, cause := range []zltrace.Cause{zltrace.CauseHedge, zltrace.CauseBypass, zltrace.CauseRetry, zltrace.CauseReplan} {
			if total[cause] == 0 {
				t.Errorf("got no sub-request with cause %s, want at least one", cause)
			}
		}
		t.Log(total)
	})
}
