package zlrelay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// brokenPaths is what one VM of a crash fleet sees of the replicas: the connections to some of
// them are reset by the network, though the replicas live.
type brokenPaths struct {
	replicas *crashableReplicas
	// isReset reports whether the VM's connections to a replica are reset.
	isReset func(zlunit.Upstream) bool
	broken  *atomic.Bool
}

// Send implements Sender.
func (b *brokenPaths) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	if !b.broken.Load() || !b.isReset(e.ID) {
		return b.replicas.Send(ctx, e, c)
	}
	if !c.Start() || sleep(ctx, time.Millisecond) == outcomeCancelled {
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	return &Unknown{
		Reason:       zldecision.ReasonConnectionBroken,
		ReplicaEnded: true,
	}
}

// Connect implements Connector.
func (b *brokenPaths) Connect(ctx context.Context, e *zlregistry.Entry) bool {
	sleep(ctx, time.Millisecond)
	return (!b.broken.Load() || !b.isReset(e.ID)) && !b.replicas.isDown(e.ID)
}

func (s *crashableReplicas) isDown(id zlunit.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil[id])
}

// restart crashes a replica whatever it runs.
func (s *crashableReplicas) restart(id zlunit.Upstream) {
	s.mu.Lock()
	crashed := s.crashed[id]
	s.mu.Unlock()
	if crashed != nil {
		s.crash(id, crashed)
	}
}

// newVerifyingFleet returns a crash fleet whose VMs verify what they hear of crashes, and of
// which each has paths of its own.
func newVerifyingFleet(n int, isReset func(vm int, id zlunit.Upstream) bool) ([]*Relay, *crashableReplicas, *atomic.Bool) {
	fleet, s := newCrashFleet(n, crashRoutes()...)
	broken := &atomic.Bool{}
	var peers []zlpeerbalancer.Peer
	for vm := range fleet {
		peers = append(peers, zlpeerbalancer.Peer{
			VM: zlunit.VM(fmt.Sprint(vm)),
		})
	}
	for vm, r := range fleet {
		paths := &brokenPaths{
			replicas: s,
			isReset: func(id zlunit.Upstream) bool {
				return isReset(vm, id)
			},
			broken: broken,
		}
		r.VM = peers[vm].VM
		r.Sender = paths
		r.Connector = paths
		r.Peers = &zlpeerbalancer.Balancer{}
		r.Peers.SetPeers(append(append([]zlpeerbalancer.Peer(nil), peers[:vm]...), peers[vm+1:]...))
		r.Quarantine.Self = r.VM
		r.Quarantine.Verify = r.VerifyCrash
	}
	return fleet, s, broken
}

// popularity counts what became of a popular sound request.
type popularity struct {
	mu          sync.Mutex
	asked       int
	served      int
	quarantined int
}

func (p *popularity) ask(r *Relay, id string) {
	req := request("/all/popular")
	req.ID = zlunit.RequestID(id)
	answer := r.Serve(context.Background(), req)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	switch a := answer.(type) {
	case *Merged:
		p.served++
	case *Refused:
		if a.Reason == zldecision.ReasonQuarantined {
			p.quarantined++
		}
	default:
	}
}

// Guards against a sound request in quarantine, since what one VM sees of its own paths, or a
// replica that restarts, was taken for crashes: the popular request is served by all VMs that
// are whole, while one beside it that does crash replicas is kept from them.
func TestBrokenPathsQuarantineNoSoundRequest(t *testing.T) {
	const vms, cut, after = 5, 8 * time.Second, 2 * time.Second
	for _, c := range []struct {
		name string
		// broken is how many VMs have broken paths, and to which replicas.
		broken  int
		isReset func(zlunit.Upstream) bool
		// restarts is how often s0-0 restarts meanwhile.
		restarts int
	}{
		{"one VM, all replicas", 1, func(zlunit.Upstream) bool { return true }, 0},
		{"one VM, one service", 1, func(id zlunit.Upstream) bool { return strings.HasPrefix(string(id), "s0-") }, 0},
		{"one VM, one data centre", 1, func(id zlunit.Upstream) bool { return strings.HasSuffix(string(id), "-0") }, 0},
		{"one VM, one replica", 1, func(id zlunit.Upstream) bool { return id == "s0-0" }, 0},
		{"half of the VMs, all replicas", 3, func(zlunit.Upstream) bool { return true }, 0},
		{"a replica restarts five times", 0, nil, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, s, broken := newVerifyingFleet(vms, func(vm int, id zlunit.Upstream) bool {
					return vm < c.broken && c.isReset(id)
				})
				var whole, later popularity
				var requests sync.WaitGroup
				began := time.Now()
				restarts := 0
				for i := 0; time.Since(began) < cut+after; i++ {
					inCut := time.Since(began) < cut
					broken.Store(inCut)
					vm := i % vms
					p := &later
					switch {
					case inCut && vm < c.broken:
						p = &popularity{}
					case inCut:
						p = &whole
					}
					requests.Go(func() {
						p.ask(fleet[vm], fmt.Sprintf("popular-%d", i))
					})
					if i%50 == 25 {
						requests.Go(func() {
							req := request("/repeatable/" + crashPath)
							req.ID = zlunit.RequestID(fmt.Sprintf("crashing-%d", i))
							fleet[i/50%vms].Serve(context.Background(), req)
						})
					}
					if restarts < c.restarts && time.Since(began) > time.Duration(restarts+1)*1300*time.Millisecond {
						restarts++
						s.restart("s0-0")
					}
					time.Sleep(12 * time.Millisecond)
				}
				requests.Wait()
				whole.check(t, "whole VMs during the cut")
				later.check(t, "all VMs after it")
				if len(s.retries) > maxCountedRetries || len(s.crashes) > 5+c.restarts {
					t.Errorf("%d crashes and %d counted retries, want %d and %d at most", len(s.crashes), len(s.retries), 5+c.restarts, maxCountedRetries)
				}
			})
		})
	}
}

func (p *popularity) check(t *testing.T, what string) {
	t.Helper()
	if p.asked == 0 || float64(p.served) < 0.98*float64(p.asked) || p.quarantined > 0 {
		t.Errorf("%s: served %d of %d, %d refused for quarantine; want 0.98 and none", what, p.served, p.asked, p.quarantined)
	}
}
