package zlgate

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// identity is how the model's processes show themselves.
type identity int

const (
	// identityOwn: each process has its own, and broken connections may be
	// noticed at any later time.
	identityOwn identity = iota
	// identityNone: broken connections are noticed before a new one is made.
	identityNone
	// identitySame: like identityNone, and the process that turns cold breaks
	// at least one connection.
	identitySame
)

// model is an upstream that knows the truth, with the connections to it.
type model struct {
	gate     *Gate
	identity identity
	coldWork int

	generation int
	cold       int
	arrived    map[*request]int
	conns      map[*Conn]int
	// idle lists the connections without a request, the dead ones included.
	idle  []*Conn
	asked []*request
}

func (m *model) process() zlunit.Process {
	switch m.identity {
	case identityNone:
		return ""
	case identitySame:
		return "p"
	default:
		return zlunit.Process(fmt.Sprint(m.generation))
	}
}

func (m *model) inFlight() int {
	n := 0
	for _, generation := range m.arrived {
		if generation == m.generation {
			n++
		}
	}
	return n
}

// enter asks for admission.
func (m *model) enter(t *rapid.T) {
	r := &request{}
	r.ticket.Value = Value(rapid.Uint64().Draw(t, "value"))
	r.ticket.Deadline = time.Now().Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "waitMs")) * time.Millisecond)
	r.ticket.Entrant = r
	m.gate.Enter(&r.ticket)
	m.asked = append(m.asked, r)
}

// take removes a random granted request that has not been sent.
func (m *model) take(t *rapid.T) *request {
	m.asked = slices.DeleteFunc(m.asked, func(r *request) bool {
		return r.refusal != zlquery.ReasonNone
	})
	var granted []*request
	for _, r := range m.asked {
		if r.granted {
			granted = append(granted, r)
		}
	}
	if len(granted) == 0 {
		return nil
	}
	r := rapid.SampledFrom(granted).Draw(t, "granted")
	m.asked = slices.DeleteFunc(m.asked, func(other *request) bool {
		return other == r
	})
	return r
}

func (m *model) acquire() *Conn {
	if n := len(m.idle); n > 0 {
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		return c
	}
	c := m.gate.Dial()
	if c != nil {
		m.conns[c] = m.generation
		c.Opened()
	}
	return c
}

// send writes a request that was granted at any earlier time.
func (m *model) send(t *rapid.T) {
	r := m.take(t)
	if r == nil {
		return
	}
	c := m.acquire()
	if c == nil {
		m.asked = append(m.asked, r)
		return
	}
	c.Busy(true)
	if m.gate.Start(&r.ticket, c) != zlquery.ReasonNone {
		c.Busy(false)
		m.idle = append(m.idle, c)
		m.gate.End(&r.ticket, OutcomeUnsent, "")
		return
	}
	if m.conns[c] != m.generation {
		m.lose(c)
		m.gate.End(&r.ticket, OutcomeFailed, "")
		return
	}
	r.conn = c
	m.arrived[r] = m.generation
	if n := m.inFlight(); m.cold > 0 && n > int(m.gate.limits.Cold) {
		t.Fatalf("%d in flight while cold, limit %d; %+v", n, m.gate.limits.Cold, m.gate.Snapshot())
	}
}

// finish lets the upstream end a request: by an answer, or because it was
// given up and the upstream confirmed that by closing the connection.
func (m *model) finish(t *rapid.T) {
	if len(m.arrived) == 0 {
		return
	}
	var all []*request
	for r := range m.arrived {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		return a.ticket.startedAt.Compare(b.ticket.startedAt)
	})
	r := all[rapid.IntRange(0, len(all)-1).Draw(t, "finished")]
	generation := m.arrived[r]
	delete(m.arrived, r)
	if generation != m.generation {
		m.lose(r.conn)
		m.gate.End(&r.ticket, OutcomeFailed, "")
		return
	}
	m.cold = max(m.cold-1, 0)
	if rapid.IntRange(0, 9).Draw(t, "givenUp") == 0 {
		r.conn.Closed()
		delete(m.conns, r.conn)
		m.gate.End(&r.ticket, OutcomeGivenUp, "")
		return
	}
	r.conn.Prove(m.process())
	m.gate.End(&r.ticket, OutcomeDone, m.process())
	r.conn.Busy(false)
	m.idle = append(m.idle, r.conn)
}

func (m *model) lose(c *Conn) {
	c.Broken()
	c.Closed()
	delete(m.conns, c)
}

// restart replaces the process: it is cold, and all connections are dead.
func (m *model) restart(*rapid.T) {
	if m.identity == identitySame && len(m.conns) == 0 {
		return
	}
	m.generation++
	m.cold = m.coldWork
	if m.identity == identityOwn {
		return
	}
	for _, c := range m.idle {
		m.lose(c)
	}
	m.idle = nil
	for r := range m.arrived {
		r.conn.Broken()
	}
}

// notice lets the daemon see the end of one dead connection.
func (m *model) notice(*rapid.T) {
	for i, c := range m.idle {
		if m.conns[c] != m.generation {
			m.idle = slices.Delete(m.idle, i, i+1)
			m.lose(c)
			return
		}
	}
}

// pass lets time pass, also as long as a paused daemon takes.
func (m *model) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300, 10000}).Draw(t, "ms")) * time.Millisecond)
}

// busy runs many requests, so that the gate gets warm between other actions.
func (m *model) busy(t *rapid.T) {
	for range rapid.IntRange(1, 200).Draw(t, "rounds") {
		m.enter(t)
		m.send(t)
		time.Sleep(10 * time.Millisecond)
		m.finish(t)
	}
}

// bubble hides the deadline of a test, which synctest does not allow to ask for.
type bubble struct {
	testing.TB
}

func TestColdLimitHoldsThroughRestarts(t *testing.T) {
	warm := 0
	for _, id := range []identity{identityOwn, identityNone, identitySame} {
		synctest.Test(t, func(t *testing.T) {
			rapid.Check(bubble{t}, func(t *rapid.T) {
				cold := rapid.IntRange(1, 3).Draw(t, "cold")
				m := &model{
					gate: &Gate{
						Timer: &zltimer.Service{},
						Changed: func(c Change) {
							if c.To == StateWarm {
								warm++
							}
						},
					},
					identity: id,
					coldWork: rapid.IntRange(1, defaultColdWork).Draw(t, "coldWork"),
					arrived:  map[*request]int{},
					conns:    map[*Conn]int{},
				}
				m.cold = m.coldWork
				m.gate.SetLimits(Limits{
					Slots:       zlunit.Slots(cold + rapid.IntRange(0, 6).Draw(t, "more")),
					Cold:        zlunit.Slots(cold),
					Connections: 30,
				})
				t.Repeat(map[string]func(*rapid.T){
					"enter":   m.enter,
					"enter2":  m.enter,
					"send":    m.send,
					"send2":   m.send,
					"finish":  m.finish,
					"restart": m.restart,
					"notice":  m.notice,
					"pass":    m.pass,
					"busy":    m.busy,
				})
			})
		})
	}
	if warm == 0 {
		t.Fatal("no gate ever got warm: the test shows nothing")
	}
}
