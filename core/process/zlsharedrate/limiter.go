package zlsharedrate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const (
	// busyStep and calmStep are the times between steps while a request waits and
	// otherwise. The former is short compared to collectTime.
	busyStep = 3 * time.Millisecond
	calmStep = 50 * time.Millisecond
	// reportPause is the shortest time between two reports on an organisation or a keeper,
	// and that without a refusal after which a limit is not reached any more.
	reportPause = 10 * time.Second
	// maxGuests bounds the VMs that are not counted, the largest supported deployment.
	maxGuests = 1024
)

// Limiter applies the limits of organisations to the requests of this VM's callers. The
// exported fields must be set before use; the methods may be called concurrently.
type Limiter struct {
	Self  Member
	Timer *zltimer.Service
	// Slack is how many requests the deployment tolerates over a limit.
	Slack float64
	// TokenLife is how long a VM may keep tokens; see the function TokenLife.
	TokenLife time.Duration
	// Table returns the table with the organisations, nil if there is none.
	Table func() *zltable.Table
	// Send sends a message to another VM. It must not block.
	Send func(to Member, m *Message)
	// Sink receives the changes; may be nil.
	Sink zldecision.Sink
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64
	// Done ends Run.
	Done <-chan struct{}

	once sync.Once
	wake chan struct{}

	mu    sync.Mutex
	node  *Node
	peers map[zlunit.VM]Member
	// guests are VMs that wrote although this one does not count them yet.
	guests map[zlunit.VM]Member
	// heard are the VMs of Hear before the first VM count.
	heard map[zlunit.VM]Member
	// indexed is the table whose limits are in limits.
	indexed *zltable.Table
	limits  map[Key]Limit
	// reached holds when the organisations that were refused lately were last refused.
	reached map[zlunit.Organisation]time.Time
	lost    map[zlunit.VM]lossReport
}

// lossReport is the last report that a keeper was lost; open until it is back.
type lossReport struct {
	at   time.Time
	open bool
}

// Grant is the permission for one request; the zero value is that of a request without a
// limit.
type Grant struct {
	limiter *Limiter
	key     Key
	token   Token
}

// Return gives the permission back: the request did not run.
func (g Grant) Return() {
	if g.limiter == nil {
		return
	}
	l := g.limiter
	l.mu.Lock()
	l.node.Return(g.key, g.token, l.Timer.Now())
	l.send()
}

func (l *Limiter) init() {
	l.once.Do(func() {
		if l.Random == nil {
			l.Random = rand.Float64
		}
		l.wake = make(chan struct{}, 1)
		l.reached = map[zlunit.Organisation]time.Time{}
		l.lost = map[zlunit.VM]lossReport{}
		l.guests = map[zlunit.VM]Member{}
		l.heard = map[zlunit.VM]Member{}
		l.node = &Node{
			Self:      l.Self,
			Slack:     l.Slack,
			TokenLife: l.TokenLife,
			Limit:     l.limit,
			Random:    l.Random,
			OnKeeper:  l.reportKeeper,
		}
	})
}

// Denial is why Acquire gave no permission; the zero value is that ctx ended first.
type Denial struct {
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// NoKeeper is set if that says nothing of the limit; see Verdict.
	NoKeeper bool
}

// Acquire waits for the permission for one request of an organisation.
func (l *Limiter) Acquire(ctx context.Context, o zltable.Organisation) (g Grant, d Denial, ok bool) {
	if o.Rate <= 0 {
		return Grant{}, Denial{}, true
	}
	l.init()
	key := OrganisationKey(o.Name)
	verdicts := make(chan Verdict, 1)
	l.mu.Lock()
	ticket := l.node.Take(key, l.Timer.Now(), func(v Verdict) {
		verdicts <- v
	})
	l.send()
	l.kick()
	var v Verdict
	select {
	case v = <-verdicts:
	case <-ctx.Done():
		if v = l.cancel(key, ticket, verdicts); !v.Granted {
			return Grant{}, Denial{}, false
		}
	}
	if !v.Granted {
		if !v.NoKeeper {
			l.reportRefusal(o.Name)
		}
		return Grant{}, Denial{
			RetryAfter: v.RetryAfter,
			NoKeeper:   v.NoKeeper,
		}, false
	}
	return Grant{
		limiter: l,
		key:     key,
		token:   v.Token,
	}, Denial{}, true
}

// cancel ends the wait for a verdict, and returns that which came meanwhile.
func (l *Limiter) cancel(key Key, ticket Ticket, verdicts <-chan Verdict) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Cancel(key, ticket)
	select {
	case v := <-verdicts:
		return v
	default:
		return Verdict{}
	}
}

// SetMembers sets the VMs that share the limits. counted is set if all of them count this
// one.
func (l *Limiter) SetMembers(members []Member, counted bool) {
	l.init()
	l.mu.Lock()
	l.peers = make(map[zlunit.VM]Member, len(members))
	l.guests = map[zlunit.VM]Member{}
	l.heard = nil
	for _, m := range members {
		l.peers[m.VM] = m
	}
	l.node.SetMembers(members, counted, l.Timer.Now())
	l.send()
}

// Handle takes a message of another VM. A VM that just started has to get answers before
// this one counts it, and one without a VM count asks those that wrote to it.
func (l *Limiter) Handle(from Member, m *Message) {
	l.init()
	l.mu.Lock()
	if _, ok := l.peers[from.VM]; !ok && len(l.guests) < maxGuests {
		l.guests[from.VM] = from
	}
	l.node.Handle(from.VM, m, l.Timer.Now())
	l.send()
	l.kick()
}

// Hear takes note of a VM of this data centre that sent a message on something else. Before
// the first VM count, it may be asked for tokens. In a large data centre another VM may have
// forwarded the message; a question to its address is lost, and the next VM is asked.
func (l *Limiter) Hear(from Member) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.heard[from.VM]; l.heard != nil && (ok || len(l.heard) < maxGuests) {
		l.heard[from.VM] = from
		l.node.Meet(from.VM)
	}
}

// send sends the messages that are due and unlocks mu.
func (l *Limiter) send() {
	out := l.node.Out()
	to := make([]Member, len(out))
	for i, e := range out {
		if m, ok := l.peers[e.To]; ok {
			to[i] = m
		} else if m, ok := l.guests[e.To]; ok {
			to[i] = m
		} else {
			to[i] = l.heard[e.To]
		}
	}
	l.mu.Unlock()
	for i, e := range out {
		if to[i].Address != "" {
			l.Send(to[i], e.Message)
		}
	}
}

// kick makes Run step.
func (l *Limiter) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run steps until Done is closed, and rests while no limit is used.
func (l *Limiter) Run() {
	l.init()
	timer := l.Timer.After(calmStep)
	defer timer.Stop()
	stepped := l.Timer.Now()
	for {
		var due <-chan time.Time
		if period := l.period(); period > 0 {
			// Further requests must not put off the step.
			timer.Reset(max(stepped.Add(period).Sub(l.Timer.Now()), 0))
			due = timer.C
		}
		select {
		case <-l.Done:
			return
		case <-l.wake:
		case <-due:
			l.step()
			stepped = l.Timer.Now()
		}
	}
}

// period returns the time between two steps, 0 while there is nothing to do.
func (l *Limiter) period() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.node.Waiting():
		return busyStep
	case !l.node.Idle() || len(l.reached) > 0:
		return calmStep
	default:
		return 0
	}
}

// Keepers returns the number of limits for which this VM is a keeper.
func (l *Limiter) Keepers() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.node.keepers)
}

func (l *Limiter) step() {
	now := l.Timer.Now()
	l.mu.Lock()
	l.node.Step(now)
	for name, at := range l.reached {
		if now.Sub(at) >= reportPause {
			delete(l.reached, name)
			l.report("limit", string(name), "limitEnded")
		}
	}
	l.send()
}

// limit returns the limit of a key by the table in force.
func (l *Limiter) limit(key Key) (Limit, bool) {
	if t := l.Table(); t != l.indexed {
		l.indexed = t
		l.limits = map[Key]Limit{}
		if t == nil {
			return Limit{}, false
		}
		for i := range t.Organisations {
			if o := &t.Organisations[i]; o.Rate > 0 {
				l.limits[OrganisationKey(o.Name)] = Limit{
					Rate:  o.Rate,
					Burst: o.Burst,
				}
			}
		}
	}
	limit, ok := l.limits[key]
	return limit, ok
}

// reportRefusal reports that an organisation reached its limit, once until there was no
// refusal for reportPause.
func (l *Limiter) reportRefusal(name zlunit.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.reached[name]; !ok {
		l.report("limit", string(name), "limitReached")
	}
	l.reached[name] = l.Timer.Now()
}

// reportKeeper reports that a keeper was lost or is back, each loss at most once in
// reportPause.
func (l *Limiter) reportKeeper(vm zlunit.VM, lost bool) {
	now := l.Timer.Now()
	last, ok := l.lost[vm]
	switch {
	case lost && (!ok || now.Sub(last.at) >= reportPause):
		l.lost[vm] = lossReport{
			at:   now,
			open: true,
		}
		l.report("keeper", string(vm), "keeperLost")
	case !lost && last.open:
		last.open = false
		l.lost[vm] = last
		l.report("keeper", string(vm), "keeperBack")
	}
}

func (l *Limiter) report(topic, name, what string) {
	if l.Sink != nil {
		l.Sink.Record(&zldecision.Belief{
			Topic: topic,
			Name:  name,
			What:  what,
		})
	}
}
