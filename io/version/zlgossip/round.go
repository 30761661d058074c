package zlgossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlroster"

	"github.com/rotisserie/eris"
)

// Run exchanges updates with other daemons in rounds until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	g.init()
	var reports sync.WaitGroup
	defer reports.Wait()
	reports.Go(func() {
		g.runCrashReports(ctx)
	})
	for ctx.Err() == nil {
		wait := Period + time.Duration(rand.Float64()*periodJitter*float64(Period))
		timer := g.Timer.After(wait)
		select {
		case <-timer.C:
			g.exchangeAll(ctx, g.periodicTargets())
		case <-g.wake:
			timer.Stop()
			g.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(maxWakeDelay)))
			g.exchangeAll(ctx, g.allTargets())
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// target is a daemon to exchange with; vm is empty for a seed.
type target struct {
	vm   zlunit.VM
	addr string
}

// periodicTargets returns the daemons of a round that the period started: all
// neighbours while the view is stale, otherwise some of them in rotation.
func (g *Gossip) periodicTargets() []target {
	age := g.Views.Age(g.Timer.Now())
	if age < staleViewAge || age > platformLostAge {
		return g.rotatingTargets()
	}
	return g.allTargets()
}

// rotatingTargets returns the next local and the next remote neighbour, and also a
// seed if there is none or all of them are unreachable.
func (g *Gossip) rotatingTargets() []target {
	view := g.Views.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	if view == nil {
		return g.seedTargets()
	}
	local, remote := g.neighbours(view)
	var out []target
	for _, m := range append(nextMembers(local, g.rounds, localPeersPerRound), nextMembers(remote, g.rounds, remotePeersPerRound)...) {
		if g.unreachable[m.VM] {
			// One round in four still tries it; the others use another daemon.
			if other, ok := g.substitute(view, m.VM); ok && rand.IntN(4) > 0 {
				m = other
			}
		}
		out = append(out, targetOf(m))
	}
	if len(out) == 0 || g.allUnreachable(out) {
		out = append(out, g.seedTargets()...)
	}
	return out
}

// nextMembers returns the n members of the list that are due in a round, in
// rotation.
func nextMembers(list []zlroster.Member, round, n int) []zlroster.Member {
	var out []zlroster.Member
	for i := range min(n, len(list)) {
		out = append(out, list[(round*n+i)%len(list)])
	}
	return out
}

func (g *Gossip) allUnreachable(targets []target) bool {
	return !slices.ContainsFunc(targets, func(t target) bool {
		return !g.unreachable[t.vm]
	})
}

// allTargets returns all reachable neighbours.
func (g *Gossip) allTargets() []target {
	view := g.Views.Load()
	if view == nil {
		return nil
	}
	local, remote := g.neighbours(view)
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []target
	for _, m := range slices.Concat(local, remote) {
		if !g.unreachable[m.VM] {
			out = append(out, targetOf(m))
		}
	}
	return out
}

func (g *Gossip) seedTargets() []target {
	if len(g.Seeds) == 0 {
		return nil
	}
	return []target{
		{
			addr: g.Seeds[g.rounds%len(g.Seeds)],
		},
	}
}

func targetOf(m zlroster.Member) target {
	return target{
		vm:   m.VM,
		addr: m.Peer,
	}
}

// exchangeAll exchanges with all targets at the same time.
func (g *Gossip) exchangeAll(ctx context.Context, targets []target) {
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			err := g.exchange(ctx, t.addr)
			g.recordResult(t.vm, err)
		})
	}
	wg.Wait()
}

// recordResult marks a daemon as reachable or not; a seed has no name to mark.
func (g *Gossip) recordResult(vm zlunit.VM, err error) {
	if err != nil {
		g.count("gossipFailed", "ask")
		g.Log.Debug().Err(err).Str("vm", string(vm)).Msg("gossip: exchange failed")
	}
	if vm == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.unreachable[vm] = true
	} else {
		delete(g.unreachable, vm)
	}
}

// exchange compares the held objects with those of the daemon at addr, pulls what
// is newer there, pushes what is newer here, and adopts its confirmation of the
// view if this daemon then holds all that it confirms.
func (g *Gossip) exchange(ctx context.Context, addr string) error {
	store := g.Objects.Store()
	sentAt := g.Timer.Now()
	var r digestReply
	if err := g.request(ctx, requestTimeout, addr, TopicDigest, digestRequest{
		Digest: store.Digest(),
	}, &r); err != nil {
		return err
	}
	if g.Quarantine != nil {
		g.Quarantine.Apply(&zlquarantine.Report{
			Quarantined: r.Quarantined,
		})
	}
	inSync := r.Same
	if !inSync {
		var err error
		if inSync, err = g.reconcile(ctx, addr, r.Ranks); err != nil {
			return err
		}
	}
	if inSync && r.Confirmed {
		// The clock of the other daemon may run slow, so its age is rounded up.
		g.Views.Confirm(sentAt.Add(-time.Duration(float64(r.Age) * (1 + ClockError))))
	}
	return nil
}

// reconcile exchanges the objects that differ from those of the daemon at addr,
// given its ranks, and reports whether this daemon then holds all of them.
func (g *Gossip) reconcile(ctx context.Context, addr string, ranks []rankEntry) (bool, error) {
	theirs := make(map[zlobject.Key]zlobject.Rank, len(ranks))
	for _, e := range ranks {
		theirs[e.Key] = e.Rank
	}
	want, push := g.Objects.Store().Compare(theirs)
	push = limitPush(push)
	if len(want) == 0 && len(push) == 0 {
		return true, nil
	}
	var r itemsReply
	if err := g.request(ctx, itemsTimeout, addr, TopicItems, itemsRequest{
		Want: want,
		Push: push,
	}, &r); err != nil {
		return false, err
	}
	if len(r.Items) > 0 {
		g.Objects.ApplyItems(r.Items)
	}
	return len(r.Items) == len(want), nil
}

// limitPush returns the first items within maxPushBytes. Larger ones are left to a
// pull: several neighbours may push the same item at the same time, while a daemon
// pulls it from one only.
func limitPush(items []zlobject.Item) []zlobject.Item {
	total := 0
	var out []zlobject.Item
	for _, item := range items {
		total += len(item.Value)
		if total > maxPushBytes {
			break
		}
		out = append(out, item)
	}
	return out
}

// request sends a request to the daemon at addr and decodes its reply into r.
func (g *Gossip) request(ctx context.Context, timeout time.Duration, addr, topic string, q, r any) error {
	body, err := encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := g.Timer.AfterFunc(timeout, cancel)
	defer timer.Stop()
	reply, err := g.Requester.Request(ctx, addr, topic, body)
	if err != nil && ctx.Err() != nil {
		return eris.Errorf("no reply within %v", timeout)
	}
	if err != nil {
		return err
	}
	return decode(reply, r)
}
