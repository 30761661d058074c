package zlrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// The bound of the users' rules: in each window, what the limit allows times a factor,
// and a few requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitToldDelay is how long after a VM learnt of a limit its requests count.
	limitToldDelay = 500 * time.Millisecond
	limitTestTime  = 16 * time.Second
	// rateStep is how often a load looks at its rate.
	rateStep = 100 * time.Millisecond
)

// limitingReplicas is a Sender for all VMs of a fleet, whose replicas name a rate limit.
type limitingReplicas struct {
	// limits holds the limit of each replica that names one.
	limits map[zlunit.Upstream]float64

	mu sync.Mutex
	// told is when each VM first got an answer with the limit.
	told map[string]time.Time
	// counted holds the requests of VMs that knew the limit, and arrivals is the number
	// of all requests at replicas that name one.
	counted  map[zlunit.Upstream][]time.Time
	arrivals int
}

// vmSender is the Sender of one VM.
type vmSender struct {
	*limitingReplicas
	vm int
}

func (s *vmSender) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	if !c.Start() {
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	limit, limited := s.limits[e.ID]
	if limited {
		s.count(e)
	}
	if sleep(ctx, 10*time.Millisecond) == outcomeCancelled {
		return &Unknown{
			Reason: zldecision.ReasonConnectionBroken,
		}
	}
	return &Response{
		Notice: Notice{
			RateLimited: limited,
			RateLimit:   limit,
		},
		Status:    http.StatusOK,
		Body:      make([]byte, recordSize),
		Signature: string(e.ID),
	}
}

func (s *vmSender) count(e *zlregistry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals++
	key := fmt.Sprintf("%d/%s", s.vm, e.ID)
	told, known := s.told[key]
	if !known {
		s.told[key] = now
		return
	}
	if now.Sub(told) >= limitToldDelay {
		s.counted[e.ID] = append(s.counted[e.ID], now)
	}
}

// mostInWindow returns the most requests of a sorted list in a window.
func mostInWindow(list []time.Time) int {
	most, first := 0, 0
	for i, at := range list {
		for at.Sub(list[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitLoad is the load of a fleet at replicas that limit their rate.
type limitLoad struct {
	vms int
	// limited is how many of a service's three replicas name the limit.
	limited int
	limit   float64
	// rate is the requests a second of all VMs together at a time since the start, and
	// share the part of them that a VM gets.
	rate  func(time.Duration) float64
	share func(vm int) float64
	path  string
	// minUsed is the least part of the limits that must be used, and minServed the least
	// part of the requests that must be served.
	minUsed   float64
	minServed float64
}

// play runs the load and returns the replicas and the number of requests served.
func (l *limitLoad) play(t *testing.T) (s *limitingReplicas, served, refused int) {
	t.Helper()
	s = &limitingReplicas{
		limits:  map[zlunit.Upstream]float64{},
		told:    map[string]time.Time{},
		counted: map[zlunit.Upstream][]time.Time{},
	}
	shards := []zlunit.Service{"s0", "s1", "s2", "s3"}
	if l.path == "/one/x" {
		shards = shards[:1]
	}
	for _, shard := range shards {
		for i := range l.limited {
			s.limits[zlunit.Upstream(fmt.Sprintf("%s-%d", shard, i))] = l.limit
		}
	}
	var mu sync.Mutex
	var requests sync.WaitGroup
	began := time.Now()
	for vm := range l.vms {
		r := newTestRelayOf(len(shards), &vmSender{
			limitingReplicas: s,
			vm:               vm,
		}, singleRoute(true, 2), scatterRoute("all", shards, 100*time.Millisecond, 1, 0.75))
		r.Placer.SetVMCount(l.vms)
		r.Placer.Random = lockedRandom(uint64(vm), 4)
		r.Random = lockedRandom(uint64(vm), 4)
		random := rand.New(rand.NewPCG(uint64(vm), 3))
		requests.Go(func() {
			for {
				rate := l.rate(time.Since(began)) * l.share(vm)
				wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
				if wait > rateStep {
					// The rate may change before the request; the wait has no memory.
					time.Sleep(rateStep)
					if time.Since(began) > limitTestTime {
						break
					}
					continue
				}
				time.Sleep(wait)
				if time.Since(began) > limitTestTime {
					break
				}
				requests.Go(func() {
					asked := time.Now()
					answer := r.Serve(context.Background(), request(l.path))
					took := time.Since(asked)
					mu.Lock()
					defer mu.Unlock()
					switch answer.(type) {
					case *Served, *Merged:
						served++
					case *Refused:
						refused++
						if took > 30*time.Millisecond {
							t.Errorf("a request was refused after %v, want at once", took)
						}
					default:
						t.Errorf("got answer %+v, want it served or refused", answer)
					}
				})
			}
		})
	}
	requests.Wait()
	return s, served, refused
}

// lockedRandom returns a source of random numbers in [0, 1) for a Placer or a Relay.
func lockedRandom(seed, stream uint64) func() float64 {
	random := rand.New(rand.NewPCG(seed, stream))
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

func constantRate(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 {
		return x
	}
}

func equalShare(vms int) func(int) float64 {
	return func(int) float64 {
		return 1 / float64(vms)
	}
}

// unequalShare gives the first VM half of the load.
func unequalShare(vms int) func(int) float64 {
	return func(vm int) float64 {
		if vm == 0 {
			return 0.5
		}
		return 0.5 / float64(vms-1)
	}
}

// Guards against replicas that get more requests than they say they take from all VMs
// together.
func TestRateLimitOfAReplicaHoldsForAllVMsTogether(t *testing.T) {
	checkLimitLoads(t, map[string]*limitLoad{
		"two of three limited": {
			vms:       7,
			limited:   2,
			limit:     30,
			rate:      constantRate(180),
			share:     equalShare(7),
			path:      "/all/x",
			minServed: 1,
		},
		"two of three limited, one busy VM": {
			vms:       7,
			limited:   2,
			limit:     30,
			rate:      constantRate(180),
			share:     unequalShare(7),
			path:      "/all/x",
			minServed: 1,
		},
		"all limited to half of the load": {
			vms:     7,
			limited: 3,
			limit:   30,
			rate:    constantRate(180),
			share:   equalShare(7),
			path:    "/all/x",
			minUsed: 0.8,
		},
		"all limited, one service": {
			vms:       7,
			limited:   3,
			limit:     30,
			rate:      constantRate(180),
			share:     equalShare(7),
			path:      "/one/x",
			minUsed:   0.8,
			minServed: 0.4,
		},
		"all limited, one busy VM": {
			vms:       7,
			limited:   3,
			limit:     30,
			rate:      constantRate(180),
			share:     unequalShare(7),
			path:      "/one/x",
			minUsed:   0.8,
			minServed: 0.4,
		},
		"a burst after a calm": {
			vms:     7,
			limited: 3,
			limit:   6,
			rate:    calmThenBurst,
			share:   equalShare(7),
			path:    "/all/x",
		},
		"a limit of nothing": {
			vms:     7,
			limited: 3,
			limit:   0,
			rate:    constantRate(60),
			share:   equalShare(7),
			path:    "/one/x",
		},
	})
}

// Guards against the same where each VM has a fraction of a request a second, and
// against limits that are then hardly used.
func TestRateLimitOfAReplicaIsUsedByHundredsOfVMs(t *testing.T) {
	checkLimitLoads(t, map[string]*limitLoad{
		"hundreds of VMs": {
			vms:     195,
			limited: 3,
			limit:   16,
			rate:    constantRate(100),
			share:   equalShare(195),
			path:    "/all/x",
			minUsed: 0.8,
		},
		"hundreds of VMs, limits above the load": {
			vms:       195,
			limited:   3,
			limit:     40,
			rate:      constantRate(100),
			share:     equalShare(195),
			path:      "/all/x",
			minServed: 0.9,
		},
		"hundreds of VMs, a burst": {
			vms:     195,
			limited: 3,
			limit:   16,
			rate:    calmThenBurst,
			share:   equalShare(195),
			path:    "/all/x",
		},
		"hundreds of VMs, a burst when all know the limits and none uses them": {
			vms:     195,
			limited: 3,
			limit:   16,
			rate: func(at time.Duration) float64 {
				switch {
				case at < 7*time.Second:
					return 300
				case at < 11*time.Second:
					return 4
				default:
					return 800
				}
			},
			share: equalShare(195),
			path:  "/all/x",
		},
	})
}

// calmThenBurst is a rate that grows to twenty times.
func calmThenBurst(at time.Duration) float64 {
	if at < 10*time.Second {
		return 12
	}
	return 240
}

// checkLimitLoads plays loads, and checks that the limits hold and are used.
func checkLimitLoads(t *testing.T, loads map[string]*limitLoad) {
	t.Helper()
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, served, refused := l.play(t)
				allowed := int(limitFactor*l.limit*limitWindow.Seconds()) + limitSlack
				most := 0
				for id, list := range s.counted {
					n := mostInWindow(list)
					if n > allowed {
						t.Errorf("%s got %d requests in %v, want %d at most", id, n, limitWindow, allowed)
					}
					most = max(most, n)
				}
				total := l.limit * limitTestTime.Seconds() * float64(len(s.limits))
				if float64(s.arrivals) < l.minUsed*total {
					t.Errorf("used %d of %.0f requests that the replicas take, want a share of %g", s.arrivals, total, l.minUsed)
				}
				if all := served + refused; float64(served) < l.minServed*float64(all) {
					t.Errorf("served %d of %d requests, want a share of %g", served, all, l.minServed)
				}
				t.Logf("served %d, refused %d; used %d of %.0f, %d in the fullest window of %d", served, refused, s.arrivals, total, most, allowed)
			})
		})
	}
}
