package zlrelay

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// behaviour is how a replica reacts to one send.
type behaviour int

const (
	answers behaviour = iota
	answersLate
	fails
	refuses
	misdirects
	breaks
	hangs
	cannotBeReached
	hangsBeforeSending
	behaviourCount
)

// scripted is a Sender that follows a list of behaviours and counts what ran.
type scripted struct {
	mu     sync.Mutex
	script []behaviour
	// mayRun counts the sends of each service that a replica may have run,
	// arrivals those that reached a replica, and replicas those that each
	// replica may have run.
	mayRun   map[zlunit.Service]int
	arrivals map[zlunit.Service]int
	replicas map[zlunit.Upstream]int
	running  int
}

func newScripted(script []behaviour) *scripted {
	return &scripted{
		script:   script,
		mayRun:   map[zlunit.Service]int{},
		arrivals: map[zlunit.Service]int{},
		replicas: map[zlunit.Upstream]int{},
	}
}

func (s *scripted) next() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return answers
	}
	b := s.script[0]
	s.script = s.script[1:]
	return b
}

func (s *scripted) note(e *zlregistry.Entry, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[e.Service]++
	if runs {
		s.mayRun[e.Service]++
		s.replicas[e.ID]++
	}
}

func (s *scripted) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	b := s.next()
	unreached := &NotRun{
		Reason: zldecision.ReasonUnreached,
	}
	switch b {
	case cannotBeReached:
		return unreached
	case hangsBeforeSending:
		<-ctx.Done()
		c.Start()
		return unreached
	default:
	}
	if !c.Start() {
		return unreached
	}
	s.note(e, b != refuses && b != misdirects)
	broken := &Unknown{
		Reason: zldecision.ReasonConnectionBroken,
	}
	wait := 5 * time.Millisecond
	switch b {
	case answersLate:
		wait = 90 * time.Millisecond
	case hangs:
		wait = time.Hour
	default:
	}
	if sleep(ctx, wait) == outcomeCancelled {
		return broken
	}
	resp := &Response{
		Status:    http.StatusOK,
		Body:      bytes.Repeat([]byte{byte(len(e.ID))}, recordSize),
		Signature: string(e.ID),
	}
	switch b {
	case fails:
		resp.Status = http.StatusInternalServerError
		return resp
	case refuses:
		return &NotRun{
			Reason:  zldecision.ReasonRefused,
			Arrived: true,
		}
	case misdirects:
		return &NotRun{
			Reason:  zldecision.ReasonWrongReplica,
			Arrived: true,
		}
	case breaks:
		return broken
	default:
		return resp
	}
}

// newTestRelay returns a relay with five services of three replicas each.
func newTestRelay(sender Sender, routes ...zltable.Route) *Relay {
	return newTestRelayOf(5, sender, routes...)
}

// newTestRelayOf returns a relay with n services s0, s1 and so on, of three
// replicas each.
func newTestRelayOf(n int, sender Sender, routes ...zltable.Route) *Relay {
	timer := &zltimer.Service{}
	registry := &zlregistry.Registry{
		Timer: timer,
	}
	var services []zltable.Service
	var all []zlregistry.Replica
	for s := range n {
		name := zlunit.Service(fmt.Sprintf("s%d", s))
		services = append(services, zltable.Service{
			Name:        name,
			Connections: 30,
		})
		for i := range 3 {
			all = append(all, zlregistry.Replica{
				ID:      zlunit.Upstream(fmt.Sprintf("%s-%d", name, i)),
				Service: name,
			})
		}
	}
	registry.SetTable(zltable.New(1, routes, services, zltable.Limits{}), time.Now(), time.Time{})
	registry.Replace(all, time.Now())
	placer := &zlbalancer.Placer{}
	placer.SetVMCount(1)
	return &Relay{
		Timer:    timer,
		Registry: registry,
		Placer:   placer,
		Sender:   sender,
		Settings: Settings{
			BudgetShare:  0.2,
			BudgetBurst:  50,
			BudgetWindow: 10 * time.Second,
		},
		BudgetSince: time.Now().Add(-time.Minute),
	}
}

func singleRoute(idempotent bool, attempts int) zltable.Route {
	return zltable.Route{
		Name:       "one",
		Host:       "h",
		Prefix:     "/one/",
		Idempotent: idempotent,
		Timeout:    time.Second,
		Objective:  100 * time.Millisecond,
		Attempts:   attempts,
		Targets: []zltable.Target{{
			Service: "s0",
			Weight:  1,
		}},
	}
}

func request(path string) *Request {
	return &Request{
		ID: "r",
		Message: &Message{
			Method: "GET",
			Host:   "h",
			Target: path,
			Path:   path,
		},
		Received: time.Now(),
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func drawScript(t *rapid.T) []behaviour {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
		return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
	}), 0, 12).Draw(t, "script")
}
