package zlsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/io/process/zlload"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"

	"github.com/rotisserie/eris"
)

const (
	// dataCentreDrainBound is the time after which a data centre that was taken
	// out of service must receive no new sub-requests. The demo checks the same
	// bound.
	dataCentreDrainBound = 3 * time.Second
	// drainObservation is how long new arrivals are counted after the bound.
	drainObservation = 1500 * time.Millisecond
	// upstreamDrainBound is the time after which an upstream that leaves must
	// receive no new sub-requests.
	upstreamDrainBound = zlload.LeavingGrace
	// inForceBound is the time in which a change must be in force at every
	// daemon.
	inForceBound        = 13 * time.Second
	inForcePollInterval = 50 * time.Millisecond
	// versionOverlap is how long an old index version is kept beside the new
	// one.
	versionOverlap = time.Second
	// addedShards is how many shards a new version adds to the planned number.
	addedShards = 2
)

// withdrawal describes a target that is taken out of service for a time and
// then restored.
type withdrawal struct {
	// target names what is withdrawn, in log lines.
	target string
	// bound is the time after the removal from which nothing new may arrive.
	bound  time.Duration
	remove func(ctx context.Context) error
	// received returns how many sub-requests the target has received so far.
	received func() int64
	restore  func(ctx context.Context) error
}

// withdraw takes a target out of service, checks the bound and restores the
// target. Two of three withdrawals wait until no disruption is under way, so
// that their bound can be checked; the others run during disruptions.
func (s *Soak) withdraw(ctx context.Context, step *Step, w *withdrawal) {
	if step.Draw%3 > 0 {
		s.noDisruption.Lock()
		defer s.noDisruption.Unlock()
	}
	if time.Until(s.started.Add(s.Duration)) < w.bound+2*drainObservation || ctx.Err() != nil {
		return
	}
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	s.logf("%s is taken out of service", w.target)
	if err := w.remove(ctx); err != nil {
		s.reportFailedCall(ctx, "withdrawing "+w.target, err)
		return
	}
	removed := time.Now()
	sleep(ctx, w.bound)
	before := w.received()
	sleep(ctx, drainObservation)
	n := w.received() - before
	if s.countChecked(!s.disruptedSince(removed)) && n > 0 {
		s.violationf("%s: %d sub-requests arrived more than %v after it was taken out of service", w.target, n, w.bound)
	}
	s.logf("%s is restored", w.target)
	if err := w.restore(context.WithoutCancel(ctx)); err != nil {
		s.reportFailedCall(ctx, "restoring "+w.target, err)
	}
}

// withdrawDataCentre takes a data centre out of service and restores it.
func (s *Soak) withdrawDataCentre(ctx context.Context, step *Step) {
	plan := s.testbed.Plan.DataCentres
	dc := plan[(step.Draw>>8)%uint64(len(plan))]
	s.withdraw(ctx, step, &withdrawal{
		target: "data centre " + string(dc),
		bound:  dataCentreDrainBound,
		remove: func(ctx context.Context) error {
			return s.testbed.MarkOutOfService(ctx, dc)
		},
		received: func() int64 {
			return s.testbed.Received(dc)
		},
		restore: func(ctx context.Context) error {
			return s.testbed.MarkOutOfService(ctx)
		},
	})
}

// withdrawUpstream makes an upstream leave and return cold.
func (s *Soak) withdrawUpstream(ctx context.Context, step *Step) {
	name, ok := s.claimUpstream(step.Draw >> 8)
	if !ok {
		return
	}
	defer s.releaseUpstream(name)
	s.withdraw(ctx, step, &withdrawal{
		target: "upstream " + string(name),
		bound:  upstreamDrainBound,
		remove: func(ctx context.Context) error {
			return s.testbed.SetLeaving(ctx, name, true)
		},
		received: func() int64 {
			return s.testbed.Upstreams[name].Counts().AfterLeaving
		},
		restore: func(ctx context.Context) error {
			return s.testbed.SetLeaving(ctx, name, false)
		},
	})
}

// reportFailedCall records an operation that failed, unless the run is ending.
func (s *Soak) reportFailedCall(ctx context.Context, operation string, err error) {
	if ctx.Err() == nil {
		s.violationf("%s failed: %v", operation, err)
	}
}

// editSettings edits the settings and checks when they are in force. Two of
// three edits wait until no disruption is under way, since otherwise few of
// them could be checked.
func (s *Soak) editSettings(ctx context.Context, step *Step) {
	if step.Draw%3 > 0 {
		s.noDisruption.Lock()
		defer s.noDisruption.Unlock()
	}
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	value := fmt.Sprintf("%dms", 2000+step.Draw%1000)
	got, err := s.editor.Edit(ctx, &zlsync.Settings, &zlsync.Edit{
		By:     "soak",
		Reason: "soak",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return []zlhistory.Change{
				{
					Path: string(s.testbed.Plan.Deployment),
					Key:  "deadline",
					New:  value,
				},
			}, r.Head().Serial, nil
		},
	})
	if err != nil {
		s.reportFailedCall(ctx, "editing the settings", err)
		return
	}
	accepted := time.Now()
	s.logf("settings changed to serial %d", got.Serial)
	for !s.inForce(got.Serial) {
		if time.Since(accepted) > inForceBound {
			if s.countChecked(!s.disruptedSince(accepted)) {
				s.violationf("serial %d is not in force everywhere after %v", got.Serial, inForceBound)
			}
			return
		}
		if !sleep(ctx, inForcePollInterval) {
			return
		}
	}
	s.countChecked(true)
	s.logf("serial %d is in force after %v", got.Serial, time.Since(accepted).Round(time.Millisecond))
}

// inForce reports whether every daemon that no step has claimed has a settings
// serial in force.
func (s *Soak) inForce(serial zlunit.Serial) bool {
	for _, p := range s.processes {
		if !p.mu.TryLock() {
			continue
		}
		has, err := hasSerial(p.Ports[1], serial)
		p.mu.Unlock()
		if err != nil || !has {
			return false
		}
	}
	return true
}

var statusClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
	Timeout: time.Second,
}

// hasSerial reports whether the daemon with the given admin address has settings
// of at least the given serial in force.
func hasSerial(admin string, serial zlunit.Serial) (bool, error) {
	resp, err := statusClient.Get("http://" + admin + "/status/news?only=self")
	if err != nil {
		return false, eris.Wrap(err, "read /status/news")
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var statuses []zlgossip.Status
	if err := json.NewDecoder(resp.Body).Decode(&statuses); err != nil || len(statuses) != 1 {
		return false, eris.Errorf("read /status/news: got %d daemons, want 1: %v", len(statuses), err)
	}
	for _, o := range statuses[0].Objects {
		if o.Kind == string(zlsync.Settings.Kind) && o.Serial >= serial {
			return true, nil
		}
	}
	return false, nil
}

// reshard adds an index version to the first service and removes the old one.
func (s *Soak) reshard(ctx context.Context, step *Step) {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	service := s.testbed.Plan.Services[0].Name
	shards := s.testbed.Plan.Services[0].Shards
	if step.Draw%2 == 0 {
		shards += addedShards
	}
	s.logf("service %s gets a new index version with %d shards", service, shards)
	if err := s.testbed.Repartition(ctx, service, shards); err != nil {
		s.reportFailedCall(ctx, "adding an index version", err)
		return
	}
	if err := s.catalogs.Read(ctx); err != nil {
		s.reportFailedCall(ctx, "reading the catalogues", err)
	}
	sleep(ctx, versionOverlap)
	if err := s.testbed.Retire(context.WithoutCancel(ctx), service); err != nil {
		s.reportFailedCall(ctx, "removing the old index version", err)
	}
}
