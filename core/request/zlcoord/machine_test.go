package zlcoord

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

	"zinnialock/core/process/zlbudget"
	"zinnialock/core/process/zlroute"
	"zinnialock/core/process/zltimer"
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

// machine drives one coordinator through faults and checks every answer.
type machine struct {
	c     *Coordinator
	chaos *chaos
	marks *zlmark.Marks
	first zlunit.IndexVersion
	last  zlunit.IndexVersion
	n     int
	// causes counts all sub-requests by cause.
	causes map[zltrace.Cause]int
	mu     sync.Mutex
}

func newMachine(t *rapid.T) *machine {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &machine{
		chaos: &chaos{
			seed:  seed,
			wrong: rapid.SampledFrom([]int{0, 3, 15, 40}).Draw(t, "wrong"),
			dead:  map[zlunit.VM]bool{},
			gone:  map[zlunit.IndexVersion]bool{},
			subs:  map[zlunit.RequestID][]*chaosSub{},
		},
		marks:  &zlmark.Marks{},
		first:  1,
		last:   1,
		causes: map[zltrace.Cause]int{},
	}
	all := make([]int, faults)
	for i := range all {
		all[i] = i
	}
	for _, kind := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 2, 4, rapid.ID[int]).Draw(t, "kinds") {
		m.chaos.kinds = append(m.chaos.kinds, fault(kind))
	}
	var mu sync.Mutex
	picks := rand.New(rand.NewPCG(seed, 2))
	m.c = &Coordinator{
		Timer: &zltimer.Service{},
		Views: &zlview.Holder{},
		Router: &zlroute.Router{
			Random: func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return picks.IntN(n)
			},
		},
		Dispatcher: m.chaos,
		Counter:    noCounter{},
		Traces:     m,
	}
	p := m.c.profiles.get("s", "k")
	p.hedges = zlbudget.Bucket{
		Burst: machineHedgeBurst,
	}
	p.retries = zlbudget.Bucket{
		Burst: machineRetryBurst,
	}
	m.show()
	return m
}

// Keep implements zltrace.Sink.
func (m *machine) Keep(t *zltrace.Trace) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, try := range t.Tries {
		if try.Cause == zltrace.CauseHedge && try.End == zltrace.EndNotRun {
			continue
		}
		m.causes[try.Cause]++
	}
}

func (m *machine) show() {
	view := chaosView(m.first, m.last, m.marks)
	m.c.Views.Store(view)
	m.locked(func() {
		m.chaos.out = map[zlunit.Upstream]bool{}
		for name, u := range view.Upstreams() {
			m.chaos.out[name] = m.marks.UpstreamOut(name, u.DataCentre)
		}
	})
	m.c.Views.Confirm(time.Now())
}

// query asks once and checks the answer; it returns what is wrong.
func (m *machine) query(id int, idempotent bool, least zlunit.Coverage, allowed time.Duration) []string {
	req := &zlquery.Request{
		ID:            zlunit.RequestID(fmt.Sprintf("r%d", id)),
		Service:       "s",
		Kind:          "k",
		Text:          fmt.Sprintf("text%d", id),
		Idempotent:    idempotent,
		LeastCoverage: least,
		Deadline:      time.Now().Add(allowed),
	}
	a := m.c.Answer(context.Background(), req)
	late := time.Now().After(req.Deadline)
	m.chaos.mu.Lock()
	defer m.chaos.mu.Unlock()
	out := m.check(req, a)
	if late {
		out = append(out, "answer is past its deadline")
	}
	return append(out, m.checkSubs(req, a)...)
}

func (m *machine) check(req *zlquery.Request, a *zlquery.Answer) []string {
	var out []string
	say := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...))
	}
	if a.ID != req.ID {
		say("answer to %s instead of %s", a.ID, req.ID)
	}
	if a.Outcome != zlquery.OutcomeDone {
		if a.Reason == zlquery.ReasonNone || a.RetryAfter <= 0 || len(a.Parts) > 0 {
			say("refusal without a reason or advice, or with parts: %+v", a)
		}
		return out
	}
	n := shardsAt(a.Version)
	sum := 0.0
	have := map[zlunit.Shard]bool{}
	for _, p := range a.Parts {
		if have[p.Shard] || p.Version != a.Version || int(p.Shard) >= n {
			say("part %+v does not belong into version %d", p, a.Version)
		}
		have[p.Shard] = true
		sum += float64(p.Coverage)
		if !slices.Equal(p.Rows, []string{rowOf(a.Version, p.Shard, p.Upstream, req.Text)}) {
			say("part %+v is not the answer to %q", p, req.Text)
		}
	}
	if math.Abs(sum/float64(n)-float64(a.Coverage)) > 1e-9 || a.Coverage < req.LeastCoverage {
		say("coverage %v, truly %v, asked %v", a.Coverage, sum/float64(n), req.LeastCoverage)
	}
	if a.Complete != (sum == float64(n)) || len(a.Missing) != n-len(a.Parts) {
		say("complete %v and %d missing with %d of %d parts", a.Complete, len(a.Missing), len(a.Parts), n)
	}
	return out
}

// checkSubs checks the answer against the truth about its sub-requests.
func (m *machine) checkSubs(req *zlquery.Request, a *zlquery.Answer) []string {
	out := m.chaos.broken
	m.chaos.broken = nil
	subs := m.chaos.subs[req.ID]
	if len(subs) != a.Subs {
		out = append(out, fmt.Sprintf("%d sub-requests reported, %d sent", a.Subs, len(subs)))
	}
	for _, s := range subs {
		if a.Outcome == zlquery.OutcomeNotRun && s.ran {
			out = append(out, fmt.Sprintf("said not run, but %+v ran", s.sub))
		}
		if !s.replied && !s.cancelled {
			out = append(out, fmt.Sprintf("%+v was left in flight", s.sub))
		}
	}
	return out
}

// checkBudgets checks all extra sub-requests against the shares.
func (m *machine) checkBudgets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	policy := m.c.Views.Load().Policy("s", "k")
	ordinary := float64(m.causes[zltrace.CauseFirst] + m.causes[zltrace.CauseReplan])
	hedges := float64(m.causes[zltrace.CauseHedge])
	retries := float64(m.causes[zltrace.CauseRetry] + m.causes[zltrace.CauseAround])
	var out []string
	if hedges > policy.HedgeShare*ordinary+machineHedgeBurst {
		out = append(out, fmt.Sprintf("%v hedges for %v sub-requests", hedges, ordinary))
	}
	if retries > policy.RetryShare*ordinary+machineRetryBurst {
		out = append(out, fmt.Sprintf("%v retries for %v sub-requests", retries, ordinary))
	}
	return out
}

func (m *machine) actions() map[string]func(*rapid.T) {
	ask := func(t *rapid.T, together int) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		least := zlunit.Coverage(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "least"))
		allowed := rapid.SampledFrom([]time.Duration{time.Millisecond, 30 * time.Millisecond, time.Second}).Draw(t, "allowed")
		m.c.Views.Confirm(time.Now())
		wrong := make([][]string, together)
		var wg sync.WaitGroup
		for i := range together {
			m.n++
			id := m.n
			wg.Go(func() {
				wrong[i] = m.query(id, idempotent, least, allowed)
			})
		}
		wg.Wait()
		if all := slices.Concat(append(wrong, m.checkBudgets())...); len(all) > 0 {
			t.Fatalf("%v", all)
		}
	}
	vm := func(t *rapid.T) zlunit.VM {
		return zlunit.VM(fmt.Sprintf("vm%d", rapid.IntRange(0, 2).Draw(t, "vm")))
	}
	return map[string]func(*rapid.T){
		"ask":        func(t *rapid.T) { ask(t, 1) },
		"askMany":    func(t *rapid.T) { ask(t, 5) },
		"die":        func(t *rapid.T) { m.locked(func() { m.chaos.dead[vm(t)] = true }) },
		"revive":     func(t *rapid.T) { m.locked(func() { delete(m.chaos.dead, vm(t)) }) },
		"newVersion": func(*rapid.T) { m.newVersion() },
		"dropOld":    func(*rapid.T) { m.dropOld() },
		"goneMidway": func(t *rapid.T) {
			after := time.Duration(rapid.IntRange(0, 3).Draw(t, "after")) * time.Millisecond
			done := make(chan struct{})
			time.AfterFunc(after, func() {
				defer close(done)
				m.locked(func() { m.chaos.gone[m.last] = true })
				m.newVersion()
			})
			ask(t, 2)
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
			m.show()
		},
		"unmark": func(*rapid.T) {
			m.marks = &zlmark.Marks{}
			m.show()
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

func (m *machine) locked(f func()) {
	m.chaos.mu.Lock()
	defer m.chaos.mu.Unlock()
	f()
}

func (m *machine) newVersion() {
	m.last++
	m.show()
}

// dropOld makes upstreams drop all versions but the newest; the catalogue
// still lists the one before.
func (m *machine) dropOld() {
	m.locked(func() {
		for v := m.first; v < m.last; v++ {
			m.chaos.gone[v] = true
		}
	})
	m.first = max(m.last-1, 1)
	m.show()
}

// bubble hides the deadline of a test, which may not be asked for in a synctest
// bubble.
type bubble struct {
	rapid.TB
}

func TestCoordinatorUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		total := map[zltrace.Cause]int{}
		rapid.Check(bubble{
			TB: t,
		}, func(t *rapid.T) {
			m := newMachine(t)
			t.Repeat(m.actions())
			for cause, n := range m.causes {
				total[cause] += n
			}
		})
		// A run that brings none of these about checks too little.
		for _, cause := range []zltrace.Cause{zltrace.CauseHedge, zltrace.CauseAround, zltrace.CauseRetry, zltrace.CauseReplan} {
			if total[cause] == 0 {
				t.Errorf("no sub-request was sent for %s", cause)
			}
		}
		t.Log(total)
	})
}
