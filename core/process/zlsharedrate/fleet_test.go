package zlsharedrate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/fxamacker/cbor/v2"
)

const (
	tick = 2 * time.Millisecond
	key  = Key(77)
)

// fleet is a network of Nodes under virtual time.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	members []Member
	index   map[zlunit.VM]int
	nodes   []*Node
	limits  map[Key]Limit
	// dead, frozen and cut describe VMs that are gone, stopped, or not reached.
	dead   map[int]bool
	frozen map[int]bool
	cut    func(a, b int) bool
	loss   float64
	// queue holds the messages by the tick in which they arrive.
	queue map[time.Time][]delivery
	// grants holds when tokens were granted and refused the requests that were denied.
	grants  map[Key][]time.Time
	refused map[Key]int
	asked   map[Key]int
	bytes   []int
}

type delivery struct {
	from, to int
	message  *Message
}

// newFleet makes n VMs, a third in each data centre, that have had a share for a minute.
func newFleet(t *testing.T, n int, limits map[Key]Limit) *fleet {
	f := &fleet{
		t:       t,
		random:  rand.New(rand.NewPCG(1, uint64(n))),
		now:     time.Unix(1e9, 0),
		limits:  limits,
		index:   map[zlunit.VM]int{},
		dead:    map[int]bool{},
		frozen:  map[int]bool{},
		queue:   map[time.Time][]delivery{},
		grants:  map[Key][]time.Time{},
		refused: map[Key]int{},
		asked:   map[Key]int{},
		bytes:   make([]int, n),
	}
	for i := range n {
		f.members = append(f.members, Member{
			VM:         zlunit.VM(fmt.Sprintf("guild-%d", i)),
			DataCentre: zlunit.DataCentre([]string{"lowell", "nashua", "dover"}[i%3]),
		})
	}
	for i := range f.members {
		f.index[f.members[i].VM] = i
	}
	f.nodes = make([]*Node, n)
	for i := range n {
		f.start(i)
		f.nodes[i].shareSince = f.now.Add(-time.Minute)
	}
	return f
}

// start starts a VM anew, with empty memory.
func (f *fleet) start(i int) {
	f.nodes[i] = &Node{
		Self:  f.members[i],
		Slack: 20,
		Limit: func(k Key) (Limit, bool) {
			l, ok := f.limits[k]
			return l, ok
		},
		Random: f.random.Float64,
	}
	f.nodes[i].SetMembers(f.members, true, f.now)
}

// send queues the messages of a VM.
func (f *fleet) send(i int) {
	if len(f.nodes[i].outOrder) == 0 {
		return
	}
	for _, e := range f.nodes[i].Out() {
		to := f.index[e.To]
		data, err := cbor.Marshal(e.Message)
		if err != nil || len(data) > 1200 {
			f.t.Fatalf("message of %d bytes, error %v", len(data), err)
		}
		// The name of the sender and the fields that each datagram has take 26 bytes.
		f.bytes[i] += len(data) + 26
		if f.random.Float64() < f.loss || f.cut != nil && f.cut(i, to) {
			continue
		}
		received := &Message{}
		if err := cbor.Unmarshal(data, received); err != nil {
			f.t.Fatal(err)
		}
		delay := tick
		if f.members[i].DataCentre != f.members[to].DataCentre {
			delay = 2 * tick
		}
		f.queue[f.now.Add(delay)] = append(f.queue[f.now.Add(delay)], delivery{
			from:    i,
			to:      to,
			message: received,
		})
	}
}

// ask takes a token at a VM.
func (f *fleet) ask(i int, key Key) {
	f.asked[key]++
	f.nodes[i].Take(key, f.now, func(v Verdict) {
		if v.Granted {
			f.grants[key] = append(f.grants[key], f.now)
		} else {
			f.refused[key]++
		}
	})
	f.send(i)
}

// run lets time pass; arrivals is called in each tick.
func (f *fleet) run(d time.Duration, arrivals func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		list := f.queue[f.now]
		delete(f.queue, f.now)
		for _, m := range list {
			switch {
			case f.dead[m.to]:
			case f.frozen[m.to]:
				// What waits in the socket is read when the VM wakes.
				next := f.now.Add(tick)
				f.queue[next] = append(f.queue[next], m)
			default:
				f.nodes[m.to].Handle(f.members[m.from].VM, m.message, f.now)
				f.send(m.to)
			}
		}
		arrivals()
		calm := f.now.UnixNano()%int64(calmStep) == 0
		for i, n := range f.nodes {
			if (calm || n.Waiting()) && !f.dead[i] && !f.frozen[i] {
				n.Step(f.now)
				f.send(i)
			}
		}
	}
}

// poisson calls ask at the rate of requests a second, at VMs that pick draws.
func (f *fleet) poisson(rate float64, pick func() int) func() {
	next := f.now
	return func() {
		for !f.now.Before(next) {
			if i := pick(); !f.dead[i] && !f.frozen[i] {
				f.ask(i, key)
			}
			next = next.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		}
	}
}

// checkWindows fails if more was granted in any window than the deployment tolerates, with
// a fifth of the slack left.
func (f *fleet) checkWindows(l Limit) int {
	const window = 5 * time.Second
	list, from, most := f.grants[key], 0, 0
	for i := range list {
		for list[i].Sub(list[from]) > window {
			from++
		}
		most = max(most, i-from+1)
	}
	if allowed := (l.Rate*window.Seconds()+l.Burst)*1.1 + 16; float64(most) > allowed {
		f.t.Errorf("limit %+v: got %d granted in a window, allowed are %.1f", l, most, allowed)
	}
	return len(list)
}
