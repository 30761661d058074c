package zlsoak

import (
	"context"
	"syscall"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/standin/zlfakeplatform"
	"zinnialock/io/standin/zlproxy"
)

const (
	// settle is how long after a daemon or the platform is back news may still
	// take: a lease, and a pulse of the news between daemons.
	settle = 4 * time.Second
	// lose is the share of writes whose reply the platform loses.
	lose = 0.5
	// slowMs is how slow it is, in milliseconds.
	slowMs = 700
)

func (s *Soak) do(ctx context.Context, step *Step) {
	s.mu.Lock()
	s.report.Steps[step.Kind]++
	s.mu.Unlock()
	switch step.Kind {
	case KindKill, KindPause, KindStop, KindPlatform, KindCut:
		s.calm.RLock()
		defer s.calm.RUnlock()
		if ctx.Err() == nil {
			s.trouble(ctx, step)
		}
	case KindUpstream, KindReset, KindCold:
		s.upstream(ctx, step)
	case KindMark:
		s.mark(ctx, step)
	case KindLeave:
		s.leave(ctx, step)
	case KindEdit:
		s.edit(ctx, step)
	case KindReshard:
		s.reshard(ctx, step)
	}
}

// trouble does what takes a daemon or the platform out of reach.
func (s *Soak) trouble(ctx context.Context, step *Step) {
	switch step.Kind {
	case KindKill:
		s.kill(ctx, step)
	case KindPause:
		s.pause(ctx, step)
	case KindStop:
		s.stop(step)
	case KindPlatform:
		s.platform(ctx, step)
	case KindCut:
		s.cut(ctx, step)
	default:
	}
}

// take returns a daemon that no other step has, locked, beginning with the drawn
// one; or nil.
func (s *Soak) take(draw uint64) *process {
	n := uint64(len(s.processes))
	for i := range n {
		if p := s.processes[(draw+i)%n]; p.mu.TryLock() {
			return p
		}
	}
	return nil
}

// again starts a daemon that ended.
func (s *Soak) again(p *process) {
	next, err := s.scene.Again(p.Process)
	if err != nil {
		s.broken("%s does not start again: %v", p.Name, err)
		return
	}
	p.Process = next
	p.sizes = nil
}

func (s *Soak) kill(ctx context.Context, step *Step) {
	p := s.take(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.hinder()()
	s.say("%s is killed, back after %v", p.Name, step.For.Round(time.Millisecond))
	p.Kill()
	sleep(ctx, step.For)
	s.again(p)
	sleep(ctx, settle)
}

func (s *Soak) pause(ctx context.Context, step *Step) {
	p := s.take(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.hinder()()
	// Twice the time of other steps: some pauses outlast a lease.
	d := 2 * step.For
	s.say("%s pauses for %v", p.Name, d.Round(time.Millisecond))
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		s.broken("%s ended by itself: %v", p.Name, err)
		return
	}
	sleep(ctx, d)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		s.broken("%s ended by itself: %v", p.Name, err)
		return
	}
	sleep(ctx, settle)
}

func (s *Soak) stop(step *Step) {
	p := s.take(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.hinder()()
	s.say("%s is stopped as planned", p.Name)
	if err := p.Stop(); err != nil {
		s.broken("planned stop: %v", err)
	}
	s.again(p)
}

func (s *Soak) upstream(ctx context.Context, step *Step) {
	name, ok := s.takeUpstream(step.Draw)
	if !ok {
		return
	}
	defer s.freeUpstream(name)
	proxy := s.upstreams[name]
	switch step.Kind {
	case KindReset:
		s.say("connections to %s are reset", name)
		proxy.Reset()
	case KindCold:
		s.say("%s starts again, cold", name)
		s.scene.Upstreams[name].GoCold(true)
	default:
		m, text := moodOf(step.Draw >> 8)
		s.say("connections to %s: %s for %v", name, text, step.For.Round(time.Millisecond))
		proxy.Set(m)
		sleep(ctx, step.For)
		proxy.Set(zlproxy.Mood{})
	}
}

func (s *Soak) takeUpstream(draw uint64) (zlunit.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := uint64(len(s.names))
	for i := range n {
		if name := s.names[(draw+i)%n]; !s.busy[name] {
			s.busy[name] = true
			return name, true
		}
	}
	return "", false
}

func (s *Soak) freeUpstream(name zlunit.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

func (s *Soak) platform(ctx context.Context, step *Step) {
	// One trouble of the platform at a time, and none while a change is made.
	s.change.Lock()
	defer s.change.Unlock()
	defer s.hinder()()
	faults, text := zlfakeplatform.Faults{
		Down: true,
	}, "down"
	switch step.Draw % 3 {
	case 1:
		faults, text = zlfakeplatform.Faults{
			SlowMs: slowMs,
		}, "slow"
	case 2:
		faults, text = zlfakeplatform.Faults{
			LoseReplies: lose,
		}, "losing replies"
	}
	s.say("the platform is %s for %v", text, step.For.Round(time.Millisecond))
	s.scene.Platform.SetFaults(faults)
	sleep(ctx, step.For)
	s.scene.Platform.SetFaults(zlfakeplatform.Faults{})
	sleep(ctx, settle)
}

func (s *Soak) cut(ctx context.Context, step *Step) {
	p := s.take(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.hinder()()
	s.mu.Lock()
	proxy := s.platforms[p.Name]
	s.mu.Unlock()
	m, text := moodOf(step.Draw >> 8)
	s.say("connections of %s to the platform: %s for %v", p.Name, text, step.For.Round(time.Millisecond))
	proxy.Set(m)
	sleep(ctx, step.For)
	proxy.Set(zlproxy.Mood{})
	sleep(ctx, settle)
}
