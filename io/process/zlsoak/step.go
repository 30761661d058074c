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
	// recoveryTime is how long updates may still be delayed after a daemon or
	// the platform is back: by the lease and one round of gossip between
	// daemons.
	recoveryTime = 4 * time.Second
	// lostReplyShare is the fraction of writes whose reply the platform loses.
	lostReplyShare = 0.5
	// slowMs is the delay of a slow platform, in milliseconds.
	slowMs = 700
)

// runStep runs one step to its end.
func (s *Soak) runStep(ctx context.Context, step *Step) {
	s.mu.Lock()
	s.report.Steps[step.Kind]++
	s.mu.Unlock()
	switch step.Kind {
	case KindKill, KindPause, KindStop, KindPlatform, KindCut:
		s.noDisruption.RLock()
		defer s.noDisruption.RUnlock()
		if ctx.Err() == nil {
			s.runDisruption(ctx, step)
		}
	case KindUpstream, KindReset, KindCold:
		s.disturbUpstream(ctx, step)
	case KindMark:
		s.withdrawDataCentre(ctx, step)
	case KindLeave:
		s.withdrawUpstream(ctx, step)
	case KindEdit:
		s.editSettings(ctx, step)
	case KindReshard:
		s.reshard(ctx, step)
	}
}

// runDisruption runs a step that makes a daemon or the platform unreachable.
func (s *Soak) runDisruption(ctx context.Context, step *Step) {
	switch step.Kind {
	case KindKill:
		s.kill(ctx, step)
	case KindPause:
		s.pause(ctx, step)
	case KindStop:
		s.stop(step)
	case KindPlatform:
		s.disturbPlatform(ctx, step)
	case KindCut:
		s.disturbPlatformConns(ctx, step)
	default:
	}
}

// claimProcess returns a daemon that no other step has claimed, with its mutex
// locked. The search starts at the drawn one; nil means that all are claimed.
func (s *Soak) claimProcess(draw uint64) *process {
	n := uint64(len(s.processes))
	for i := range n {
		if p := s.processes[(draw+i)%n]; p.mu.TryLock() {
			return p
		}
	}
	return nil
}

// restart starts a daemon that has ended. The mutex of p must be held.
func (s *Soak) restart(p *process) {
	next, err := s.testbed.RestartProcess(p.DaemonProcess)
	if err != nil {
		s.violationf("%s does not restart: %v", p.Name, err)
		return
	}
	p.DaemonProcess = next
	p.usages = nil
}

// kill ends a daemon by SIGKILL and restarts it after the length of the step.
func (s *Soak) kill(ctx context.Context, step *Step) {
	p := s.claimProcess(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.beginDisruption()()
	s.logf("%s is killed and restarts after %v", p.Name, step.For.Round(time.Millisecond))
	p.Kill()
	sleep(ctx, step.For)
	s.restart(p)
	sleep(ctx, recoveryTime)
}

// pause suspends a daemon for twice the length of the step.
func (s *Soak) pause(ctx context.Context, step *Step) {
	p := s.claimProcess(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.beginDisruption()()
	// A pause lasts twice as long as other steps, so that some pauses outlast a
	// lease.
	d := 2 * step.For
	s.logf("%s is suspended for %v", p.Name, d.Round(time.Millisecond))
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		s.violationf("%s ended unexpectedly: %v", p.Name, err)
		return
	}
	sleep(ctx, d)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		s.violationf("%s ended unexpectedly: %v", p.Name, err)
		return
	}
	sleep(ctx, recoveryTime)
}

// stop ends a daemon by SIGTERM and restarts it at once.
func (s *Soak) stop(step *Step) {
	p := s.claimProcess(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.beginDisruption()()
	s.logf("%s gets a planned stop", p.Name)
	if err := p.Stop(); err != nil {
		s.violationf("planned stop failed: %v", err)
	}
	s.restart(p)
}

// disturbUpstream makes an upstream restart cold, or resets or disturbs the
// connections to it.
func (s *Soak) disturbUpstream(ctx context.Context, step *Step) {
	name, ok := s.claimUpstream(step.Draw)
	if !ok {
		return
	}
	defer s.releaseUpstream(name)
	proxy := s.upstreamProxies[name]
	switch step.Kind {
	case KindReset:
		s.logf("connections to %s are reset", name)
		proxy.Reset()
	case KindCold:
		s.logf("%s restarts cold", name)
		s.testbed.Upstreams[name].GoCold(true)
	default:
		m, description := drawFault(step.Draw >> 8)
		s.logf("connections to %s: %s for %v", name, description, step.For.Round(time.Millisecond))
		proxy.SetFaults(m)
		sleep(ctx, step.For)
		proxy.SetFaults(zlproxy.Faults{})
	}
}

// claimUpstream returns an upstream that no other step has claimed, starting the
// search at the drawn one, and claims it.
func (s *Soak) claimUpstream(draw uint64) (zlunit.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := uint64(len(s.upstreamNames))
	for i := range n {
		if name := s.upstreamNames[(draw+i)%n]; !s.claimedUpstreams[name] {
			s.claimedUpstreams[name] = true
			return name, true
		}
	}
	return "", false
}

func (s *Soak) releaseUpstream(name zlunit.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimedUpstreams, name)
}

// disturbPlatform makes the platform unavailable or slow, or makes it lose
// replies, for the length of the step.
func (s *Soak) disturbPlatform(ctx context.Context, step *Step) {
	// Only one platform fault at a time, and none during a change.
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	defer s.beginDisruption()()
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
			LoseReplies: lostReplyShare,
		}, "losing replies"
	}
	s.logf("the platform is %s for %v", text, step.For.Round(time.Millisecond))
	s.testbed.Platform.SetFaults(faults)
	sleep(ctx, step.For)
	s.testbed.Platform.SetFaults(zlfakeplatform.Faults{})
	sleep(ctx, recoveryTime)
}

// disturbPlatformConns injects a fault into the connections of one daemon to the
// platform.
func (s *Soak) disturbPlatformConns(ctx context.Context, step *Step) {
	p := s.claimProcess(step.Draw)
	if p == nil {
		return
	}
	defer p.mu.Unlock()
	defer s.beginDisruption()()
	s.mu.Lock()
	proxy := s.platformProxies[p.Name]
	s.mu.Unlock()
	m, description := drawFault(step.Draw >> 8)
	s.logf("connections of %s to the platform: %s for %v", p.Name, description, step.For.Round(time.Millisecond))
	proxy.SetFaults(m)
	sleep(ctx, step.For)
	proxy.SetFaults(zlproxy.Faults{})
	sleep(ctx, recoveryTime)
}
