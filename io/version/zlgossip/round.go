package zlgossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlroster"

	"github.com/rotisserie/eris"
)

// Run exchanges news until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	g.init()
	for ctx.Err() == nil {
		wait := Period + time.Duration(rand.Float64()*jitter*float64(Period))
		alarm := g.Timer.After(wait)
		select {
		case <-alarm.C:
			g.ask(ctx, g.usual())
		case <-g.kick:
			alarm.Stop()
			g.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(eagerDelay)))
			g.ask(ctx, g.all())
		case <-ctx.Done():
			alarm.Stop()
		}
	}
}

// target is a daemon to ask; seeds have no name.
type target struct {
	vm   zlunit.VM
	addr string
}

// usual returns whom to ask in a round that nothing but time started.
func (g *Gossip) usual() []target {
	age := g.Views.Age(g.Timer.Now())
	if age < agedView || age > lostView {
		return g.turn()
	}
	return g.all()
}

// turn returns whom to ask in a usual round: one near, one far, and a seed
// while nobody else is known.
func (g *Gossip) turn() []target {
	view := g.Views.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turns++
	if view == nil {
		return g.seed()
	}
	near, far := g.neighbours(view)
	var out []target
	for _, m := range append(inTurn(near, g.turns, nearAsks), inTurn(far, g.turns, farAsks)...) {
		if g.silent[m.VM] {
			// Ask it again now and then; meanwhile another takes its turn.
			if other, ok := g.substitute(view, m.VM); ok && rand.IntN(4) > 0 {
				m = other
			}
		}
		out = append(out, targetOf(m))
	}
	if len(out) == 0 || g.allSilent(out) {
		out = append(out, g.seed()...)
	}
	return out
}

// inTurn returns the next n members of the list, going round.
func inTurn(list []zlroster.Member, turn, n int) []zlroster.Member {
	var out []zlroster.Member
	for i := range min(n, len(list)) {
		out = append(out, list[(turn*n+i)%len(list)])
	}
	return out
}

func (g *Gossip) allSilent(targets []target) bool {
	return !slices.ContainsFunc(targets, func(t target) bool {
		return !g.silent[t.vm]
	})
}

// all returns every neighbour that is not silent.
func (g *Gossip) all() []target {
	view := g.Views.Load()
	if view == nil {
		return nil
	}
	near, far := g.neighbours(view)
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []target
	for _, m := range slices.Concat(near, far) {
		if !g.silent[m.VM] {
			out = append(out, targetOf(m))
		}
	}
	return out
}

func (g *Gossip) seed() []target {
	if len(g.Seeds) == 0 {
		return nil
	}
	return []target{
		{
			addr: g.Seeds[g.turns%len(g.Seeds)],
		},
	}
}

func targetOf(m zlroster.Member) target {
	return target{
		vm:   m.VM,
		addr: m.Peer,
	}
}

func (g *Gossip) ask(ctx context.Context, targets []target) {
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			err := g.exchange(ctx, t.addr)
			g.note(t.vm, err)
		})
	}
	wg.Wait()
}

func (g *Gossip) note(vm zlunit.VM, err error) {
	if err != nil {
		g.count("gossipFailed", "ask")
		g.Log.Debug().Err(err).Str("vm", string(vm)).Msg("gossip: no reply")
	}
	if vm == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.silent[vm] = true
	} else {
		delete(g.silent, vm)
	}
}

// exchange compares news with one daemon, takes what is newer there, hands
// over what is newer here, and takes over its confirmation.
func (g *Gossip) exchange(ctx context.Context, addr string) error {
	store := g.News.Store()
	asked := g.Timer.Now()
	var r digestReply
	if err := g.question(ctx, askTimeout, addr, TopicDigest, digestQuestion{
		Digest: store.Digest(),
	}, &r); err != nil {
		return err
	}
	level := r.Same
	if !level {
		var err error
		if level, err = g.level(ctx, addr, r.Ranks); err != nil {
			return err
		}
	}
	if level && r.Heard {
		// The other's clock may run slow, so its age counts for more.
		g.Views.Confirm(asked.Add(-time.Duration(float64(r.Age) * (1 + ClockError))))
	}
	return nil
}

// level reports whether this daemon then held all that the other did.
func (g *Gossip) level(ctx context.Context, addr string, ranks []rankEntry) (bool, error) {
	theirs := make(map[zlobject.Key]zlobject.Rank, len(ranks))
	for _, e := range ranks {
		theirs[e.Key] = e.Rank
	}
	want, give := g.News.Store().Compare(theirs)
	give = small(give)
	if len(want) == 0 && len(give) == 0 {
		return true, nil
	}
	var r itemsReply
	if err := g.question(ctx, pullTimeout, addr, TopicItems, itemsQuestion{
		Want: want,
		Give: give,
	}, &r); err != nil {
		return false, err
	}
	if len(r.Items) > 0 {
		g.News.Take(r.Items)
	}
	return len(r.Items) == len(want), nil
}

// small keeps what is worth handing over unasked: several neighbours may do so
// at once, while a daemon asks only one for what it lacks.
func small(items []zlobject.Item) []zlobject.Item {
	total := 0
	var out []zlobject.Item
	for _, item := range items {
		total += len(item.Value)
		if total > maxGive {
			break
		}
		out = append(out, item)
	}
	return out
}

func (g *Gossip) question(ctx context.Context, timeout time.Duration, addr, topic string, q, r any) error {
	body, err := encode(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alarm := g.Timer.AfterFunc(timeout, cancel)
	defer alarm.Stop()
	reply, err := g.Asker.Ask(ctx, addr, topic, body)
	if err != nil && ctx.Err() != nil {
		return eris.Errorf("no reply within %v", timeout)
	}
	if err != nil {
		return err
	}
	return decode(reply, r)
}
