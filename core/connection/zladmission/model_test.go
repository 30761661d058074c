package zladmission

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

// identity is what process identity the processes of a model show.
type identity int

const (
	// identityOwn: each process has its own identity, and broken connections
	// may be noticed at any later time.
	identityOwn identity = iota
	// identityNone: no process has an identity, and broken connections are
	// noticed before a new one is made.
	identityNone
	// identitySame: all processes have the same identity, broken connections
	// are noticed as with identityNone, and each restart breaks at least one
	// connection.
	identitySame
)

// model is an upstream and the connections to it. It knows whether it is
// really cold.
type model struct {
	gate     *Gate
	identity identity
	coldWork int

	// generation counts the processes.
	generation int
	// cold is how many requests the process must still answer to be warm.
	cold int
	// arrived holds the requests under way, with the generation that got them.
	arrived map[*request]int
	// conns holds the open connections, with the generation that they lead to.
	conns map[*Conn]int
	// idle lists the connections without a request, including dead ones.
	idle []*Conn
	// asked lists the requests that entered and were not sent.
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

// inFlight counts the requests at the current process.
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
	r.ticket.Waiter = r
	m.gate.Enter(&r.ticket)
	m.asked = append(m.asked, r)
}

// takeGranted removes and returns a random granted request that has not been
// sent; nil if there is none.
func (m *model) takeGranted(t *rapid.T) *request {
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

// acquire returns an idle connection or a new one; nil if none is allowed.
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

// send sends a random request that was granted earlier.
func (m *model) send(t *rapid.T) {
	r := m.takeGranted(t)
	if r == nil {
		return
	}
	c := m.acquire()
	if c == nil {
		m.asked = append(m.asked, r)
		return
	}
	c.SetBusy(true)
	if m.gate.Start(&r.ticket, c) != zlquery.ReasonNone {
		c.SetBusy(false)
		m.idle = append(m.idle, c)
		m.gate.End(&r.ticket, OutcomeUnsent, "")
		return
	}
	if m.conns[c] != m.generation {
		m.breakConn(c)
		m.gate.End(&r.ticket, OutcomeFailed, "")
		return
	}
	r.conn = c
	m.arrived[r] = m.generation
	if n := m.inFlight(); m.cold > 0 && n > int(m.gate.limits.Cold) {
		t.Fatalf("got %d requests in flight at a cold upstream, want at most %d; gate: %+v", n, m.gate.limits.Cold, m.gate.Snapshot())
	}
}

// finish ends a random request that arrived: by an answer, or because it was
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
		m.breakConn(r.conn)
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
	r.conn.MarkProven(m.process())
	m.gate.End(&r.ticket, OutcomeDone, m.process())
	r.conn.SetBusy(false)
	m.idle = append(m.idle, r.conn)
}

func (m *model) breakConn(c *Conn) {
	c.PeerClosed()
	c.Closed()
	delete(m.conns, c)
}

// restart replaces the upstream's process by one in cold start, which breaks all
// connections. With identityOwn the daemon notices that later, in noticeBroken.
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
		m.breakConn(c)
	}
	m.idle = nil
	for r := range m.arrived {
		r.conn.PeerClosed()
	}
}

// noticeBroken lets the daemon see the end of one dead connection.
func (m *model) noticeBroken(*rapid.T) {
	for i, c := range m.idle {
		if m.conns[c] != m.generation {
			m.idle = slices.Delete(m.idle, i, i+1)
			m.breakConn(c)
			return
		}
	}
}

// passTime lets time pass, at most as long as a daemon may be paused.
func (m *model) passTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 300, 10000}).Draw(t, "ms")) * time.Millisecond)
}

// runRequests runs many requests one after the other, so that the gate gets
// warm between other actions.
func (m *model) runRequests(t *rapid.T) {
	for range rapid.IntRange(1, 200).Draw(t, "rounds") {
		m.enter(t)
		m.send(t)
		time.Sleep(10 * time.Millisecond)
		m.finish(t)
	}
}

// bubble hides the Deadline method of a test, which synctest does not allow to
// be called.
type bubble struct {
	testing.TB
}

// Guards against more requests at a cold upstream than its cold limit, over random
// sequences of requests, restarts and connections that are noticed late to be
// broken.
func TestColdLimitHoldsThroughRestarts(t *testing.T) {
	warm := 0
	for _, id := range []identity{identityOwn, identityNone, identitySame} {
		synctest.Test(t, func(t *testing.T) {
			rapid.Check(bubble{t}, func(t *rapid.T) {
				cold := rapid.IntRange(1, 3).Draw(t, "cold")
				m := &model{
					gate: &Gate{
						Timer: &zltimer.Service{},
						OnChange: func(c Change) {
							if c.To == StateWarm {
								warm++
							}
						},
					},
					identity: id,
					coldWork: rapid.IntRange(1, defaultColdSuccesses).Draw(t, "coldWork"),
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
					"notice":  m.noticeBroken,
					"pass":    m.passTime,
					"busy":    m.runRequests,
				})
			})
		})
	}
	if warm == 0 {
		t.Fatal("got no gate that became warm, want some: the test checks nothing otherwise")
	}
}
