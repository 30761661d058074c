package zlrollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
)

const (
	tick   = 20 * time.Millisecond
	docs   = zlunit.Service("docs")
	oldOne = zlunit.Build("v1")
	newOne = zlunit.Build("v2")
)

// fleet is a store, VMs and replicas of one service under virtual time.
type fleet struct {
	random *rand.Rand
	vms    []*vm
	start  time.Time
	events []event
	ticks  int
	// rate is the number of requests a second.
	rate     float64
	due      float64
	duration time.Duration
	// respond returns how a replica responds; load is its requests a second.
	respond func(g Group, route int, load float64) (Outcome, time.Duration)
	isBad   bool
	// loss is the part of reports that are lost.
	loss float64

	replicas []*zlregistry.Entry
	loads    map[zlunit.Upstream]*load
	object   *Order
	revision zlrevision.Revision
	away     bool
	// dropWrite, if set, drops the writes that it returns true for.
	dropWrite func(v *vm, w *WriteStatus) bool

	total    int
	target   int
	bad      int
	fiftieth time.Time
	// late counts sends to the target later than 5 s after the 50th bad response, and
	// stopped those to old replicas after completion, by VMs that have been in contact for
	// as long as a status may take to reach them.
	late     int
	stopped  int
	writes   int
	outcomes []State
	endedAt  time.Duration
}

type event struct {
	at time.Time
	do func()
}

// vm is one VM. Cut means that it reaches neither the store nor other VMs.
type vm struct {
	*Controller
	name  zlunit.VM
	dead  bool
	cut   bool
	heard time.Time
	// contact is when the VM started or came into contact again.
	contact time.Time
}

type load struct {
	value float64
	at    time.Time
}

func newFleet(seed uint64, vms, oldReplicas, newReplicas int) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Now(),
		rate:     100,
		duration: 12 * time.Second,
		loss:     0.05,
		loads:    map[zlunit.Upstream]*load{},
		revision: zlrevision.Revision{
			Era: 1,
		},
		respond: good,
	}
	for i := range vms {
		f.vms = append(f.vms, &vm{
			name: zlunit.VM(fmt.Sprintf("vm%d", i)),
		})
	}
	for _, v := range f.vms {
		f.boot(v)
	}
	f.addReplicas(oldOne, oldReplicas)
	f.run(11*time.Second, false)
	f.addReplicas(newOne, newReplicas)
	return f
}

// good is how replicas respond that are not bad.
func good(Group, int, float64) (Outcome, time.Duration) {
	return OutcomeGood, 0
}

// order gives the first order and begins to count requests.
func (f *fleet) order() {
	f.put(newOne)
	f.total, f.target, f.bad = 0, 0, 0
}

// goBack lets the store go back to a copy from when the share was small.
func (f *fleet) goBack() {
	f.revision.Era++
	f.revision.Number -= 2
	next := *f.object
	next.Status = Status{
		State:  StateRunning,
		Target: f.object.ID.Target,
		Share:  smallShare,
	}
	next.ID.Created.Era = f.revision.Era
	f.set(&next)
}

// boot starts a VM with empty memory.
func (f *fleet) boot(v *vm) {
	v.dead = false
	v.contact = time.Now()
	v.Controller = &Controller{
		Self: v.name,
		Settings: Settings{
			Enabled: true,
		},
		Timer: &zltimer.Service{},
	}
	names := make([]zlunit.VM, 0, len(f.vms))
	for _, other := range f.vms {
		names = append(names, other.name)
	}
	v.SetMembers(names)
	f.tell(v)
	v.SetReplicas(f.view())
}

func (f *fleet) view() *zlregistry.View {
	return &zlregistry.View{
		Replicas: map[zlunit.Service][]*zlregistry.Entry{
			docs: slices.Clone(f.replicas),
		},
	}
}

func (f *fleet) addReplicas(b zlunit.Build, n int) {
	for i := range n {
		id := zlunit.Upstream(fmt.Sprintf("%s-%d", b, i))
		f.replicas = append(f.replicas, &zlregistry.Entry{
			Replica: zlregistry.Replica{
				ID:      id,
				Service: docs,
				Build:   b,
			},
		})
		f.loads[id] = &load{}
	}
	f.tellReplicas()
}

func (f *fleet) removeReplicas(which func(b zlunit.Build) bool) {
	f.replicas = slices.DeleteFunc(slices.Clone(f.replicas), func(e *zlregistry.Entry) bool {
		return which(e.Build)
	})
	f.tellReplicas()
}

func (f *fleet) tellReplicas() {
	for _, v := range f.vms {
		v.SetReplicas(f.view())
	}
}

// after runs do when d has passed.
func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{
		at: time.Now().Add(d),
		do: do,
	})
}

// put gives an order.
func (f *fleet) put(target zlunit.Build) {
	f.start = time.Now()
	f.revision.Number++
	if f.object == nil {
		f.object = &Order{}
	}
	next := *f.object
	next.ID = OrderID{
		Service: docs,
		Target:  target,
		Created: zlrevision.Revision{
			Era:    f.revision.Era,
			Number: 1,
		},
	}
	next.Duration = f.duration
	f.set(&next)
}

// set stores an object, of which each VM learns 0.1 to 1.3 s later.
func (f *fleet) set(next *Order) {
	f.object = next
	if next != nil {
		next.Revision = f.revision
	}
	for _, v := range f.vms {
		at := time.Now().Add(f.between(100*time.Millisecond, 1300*time.Millisecond))
		if at.Before(v.heard) {
			at = v.heard
		}
		v.heard = at
		f.after(time.Until(at), func() {
			if f.object == next {
				f.tell(v)
			}
		})
	}
}

func (f *fleet) tell(v *vm) {
	if v.dead || v.cut || f.away {
		return
	}
	var list []Order
	if f.object != nil {
		list = append(list, *f.object)
	}
	v.SetOrders(list, time.Now())
}

func (f *fleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.random.Float64()*float64(b-a))
}

// run lets time pass, with requests or without.
func (f *fleet) run(d time.Duration, requests bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		now := time.Now()
		f.ticks++
		for i := 0; i < len(f.events); i++ {
			if e := f.events[i]; !e.at.After(now) {
				f.events = slices.Delete(f.events, i, i+1)
				i--
				e.do()
			}
		}
		if requests {
			f.due += f.rate * tick.Seconds()
		}
		for ; f.due >= 1; f.due-- {
			f.request(f.vms[f.random.IntN(len(f.vms))])
		}
		for i, v := range f.vms {
			if (f.ticks+i)%5 == 0 && !v.dead {
				f.act(v, v.Step(now))
			}
		}
	}
}

// act carries out what a VM asks for.
func (f *fleet) act(v *vm, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *WriteStatus:
			f.writes++
			if f.dropWrite == nil || !f.dropWrite(v, a) {
				f.after(50*time.Millisecond, func() { f.write(v, a) })
			}
		case *SendReport:
			for _, to := range f.vms {
				if a.To != nil && !slices.Contains(a.To, to.name) {
					continue
				}
				if to == v || v.cut || f.random.Float64() < f.loss {
					continue
				}
				f.after(f.between(0, 40*time.Millisecond), func() {
					if !to.dead && !to.cut {
						to.HandleReport(&a.Report, time.Now())
					}
				})
			}
		}
	}
}

// write takes a conditional write.
func (f *fleet) write(v *vm, w *WriteStatus) {
	if f.away || v.cut || f.object == nil {
		v.HandleWrite(w.Order.ID, nil, time.Now())
		return
	}
	if f.object.Revision == w.Order.Revision {
		f.revision.Number++
		next := *f.object
		next.Status = w.Status
		f.set(&next)
		if w.Status.State.Final() {
			f.ended(w.Status.State)
		}
	}
	if latest := *f.object; !v.dead && f.random.Float64() >= f.loss {
		v.HandleWrite(w.Order.ID, &latest, time.Now())
	}
}

// ended does what the platform does with an outcome.
func (f *fleet) ended(state State) {
	f.outcomes = append(f.outcomes, state)
	f.endedAt = time.Since(f.start)
	target := f.object.ID.Target
	if state == StateCompleted {
		f.after(time.Second, func() { f.removeReplicas(func(b zlunit.Build) bool { return b != target }) })
		return
	}
	f.after(3*time.Second, func() { f.removeReplicas(func(b zlunit.Build) bool { return b == target }) })
}

// decider returns the VM that ranks at n.
func (f *fleet) decider(n int) *vm {
	names := f.vms[0].ranking(f.vms[0].service(docs))
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool {
		return v.name == names[n]
	})]
}
