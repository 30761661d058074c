package zlpeerbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newFleet returns balancers of n VMs in three data centres; each knows the others.
func newFleet(n int) []*Balancer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{
			VM:         vm(i),
			DataCentre: dataCentre(i),
			Address:    fmt.Sprintf("10.0.0.%d:1", i),
		})
	}
	random := rand.New(rand.NewPCG(1, 2))
	var out []*Balancer
	for i := range n {
		b := &Balancer{
			Home:   dataCentre(i),
			Random: random.Float64,
		}
		others := append(append([]Peer(nil), peers[:i]...), peers[i+1:]...)
		b.SetPeers(others)
		out = append(out, b)
	}
	return out
}

func vm(i int) zlunit.VM {
	return zlunit.VM(fmt.Sprintf("vm-%d", i))
}

func dataCentre(i int) zlunit.DataCentre {
	return zlunit.DataCentre(fmt.Sprintf("dc-%d", i%3))
}

// ask sends one request of a VM and returns whether it was served, and by how many tries.
func ask(fleet []*Balancer, from int, able func(zlunit.VM) bool, now time.Time) (served bool, tries int) {
	var skip []zlunit.VM
	for tries = 1; tries <= 8; tries++ {
		p, ok := fleet[from].Choose(now, skip)
		if !ok {
			return false, tries
		}
		if able(p.VM) {
			fleet[from].Done(now, p.VM, OutcomeServed)
			return true, tries
		}
		for i := range fleet {
			if vm(i) == p.VM {
				fleet[from].Recommend(now, fleet[i].Serving(now))
			}
		}
		fleet[from].Done(now, p.VM, OutcomeUnable)
		skip = append(skip, p.VM)
	}
	return false, tries
}

// All VMs but one lose their paths: the one that is left must be found by all, also among
// hundreds with less than a request a second each.
func TestOnlyVMThatServesIsFound(t *testing.T) {
	for _, c := range []struct {
		vms     int
		seconds int
	}{
		{7, 4},
		{195, 8},
	} {
		fleet := newFleet(c.vms)
		last := vm(c.vms - 1)
		able := func(v zlunit.VM) bool {
			return v == last
		}
		served, all, tries := 0, 0, 0
		for tick := range c.seconds * 2 {
			now := start.Add(time.Duration(tick) * 500 * time.Millisecond)
			for from := range c.vms - 1 {
				ok, n := ask(fleet, from, able, now)
				if tick < c.seconds {
					continue
				}
				all++
				tries += n
				if ok {
					served++
				}
			}
		}
		if float64(served) < 0.99*float64(all) {
			t.Errorf("%d VMs: %d of %d requests found the VM in the second half, want 0.99", c.vms, served, all)
		}
		if mean := float64(tries) / float64(all); mean > 1.5 {
			t.Errorf("%d VMs: %.2f tries a request, want 1.5 at most", c.vms, mean)
		}
	}
}

// A data centre whose VMs have all lost their paths must not cost each request a try.
func TestOtherDataCentresGoFirstAfterDeclines(t *testing.T) {
	fleet := newFleet(60)
	able := func(v zlunit.VM) bool {
		for i := range 60 {
			if vm(i) == v {
				return dataCentre(i) != fleet[0].Home
			}
		}
		return false
	}
	tries := 0
	for i := range 100 {
		_, n := ask(fleet, 0, able, start.Add(time.Duration(i)*time.Millisecond))
		tries += n
	}
	if tries > 104 {
		t.Errorf("got %d tries for 100 requests, want 104 at most", tries)
	}
}

// The load must spread over the VMs that can serve, those of the data centre first.
func TestForwardsSpread(t *testing.T) {
	fleet := newFleet(12)
	counts := map[zlunit.VM]int{}
	for range 9 {
		p, ok := fleet[0].Choose(start, nil)
		if !ok {
			t.Fatal("no VM chosen")
		}
		counts[p.VM]++
	}
	for v, n := range counts {
		if n > 3 {
			t.Errorf("%s got %d of 9 forwards, want at most 3", v, n)
		}
	}
	for i := 3; i < 12; i += 3 {
		if counts[vm(i)] == 0 {
			t.Errorf("%s of the same data centre got none of 9 forwards", vm(i))
		}
	}
}

// A VM that fails is passed over, longer each time, and one that is busy only for a moment.
func TestFailedVMsArePassedOver(t *testing.T) {
	b := newFleet(2)[0]
	now := start
	tried := []zlunit.VM{"another"}
	for _, c := range []struct {
		outcome Outcome
		avoided time.Duration
	}{
		{OutcomeBusy, busyTime},
		{OutcomeFailed, minAvoidTime},
		{OutcomeUnable, 2 * minAvoidTime},
		{OutcomeServed, 0},
		{OutcomeFailed, minAvoidTime},
	} {
		p, ok := b.Choose(now, tried)
		if !ok {
			t.Fatalf("outcome %d: no VM chosen", c.outcome)
		}
		b.Done(now, p.VM, c.outcome)
		if c.avoided > 0 {
			if _, ok := b.Choose(now.Add(c.avoided-1), tried); ok {
				t.Errorf("outcome %d: chosen before %v have passed", c.outcome, c.avoided)
			}
			if _, ok := b.Choose(now.Add(c.avoided-1), nil); !ok {
				t.Errorf("outcome %d: not chosen although no other was tried", c.outcome)
			}
			b.Done(now, p.VM, OutcomeGivenUp)
		}
		now = now.Add(c.avoided)
	}
}
