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
	// markBound is after what time a data centre that was taken out gets no new
	// work ("after seconds" in the brief; what the demo checks).
	markBound = 3 * time.Second
	// markWatch is how long that is watched.
	markWatch = 1500 * time.Millisecond
	// leaveBound is after what time an upstream that leaves gets no new work.
	leaveBound = zlload.LeavingGrace
	// editBound is the time in which a change is in force everywhere.
	editBound = 13 * time.Second
	// editLook is how often it is looked for.
	editLook = 50 * time.Millisecond
	// overlap is how long an old index version stays beside the new one.
	overlap = time.Second
	// moreShards is how many shards a new version adds or takes away.
	moreShards = 2
)

// mark takes a data centre out and back. Two of three wait until nothing hinders
// the news, so that the bound can be judged; the others come in the midst of it.
func (s *Soak) mark(ctx context.Context, step *Step) {
	if step.Draw%3 > 0 {
		s.calm.Lock()
		defer s.calm.Unlock()
	}
	if time.Until(s.began.Add(s.Time)) < markBound+2*markWatch || ctx.Err() != nil {
		return
	}
	s.change.Lock()
	defer s.change.Unlock()
	plan := s.scene.Plan.DataCentres
	dc := plan[(step.Draw>>8)%uint64(len(plan))]
	s.say("data centre %s is taken out", dc)
	if err := s.scene.Mark(ctx, dc); err != nil {
		s.failed(ctx, "mark", err)
		return
	}
	marked := time.Now()
	sleep(ctx, markBound)
	before := s.scene.Received(dc)
	sleep(ctx, markWatch)
	n := s.scene.Received(dc) - before
	if s.judge(!s.isHindered(marked)) && n > 0 {
		s.broken("data centre %s: %d sub-requests arrived more than %v after it was taken out", dc, n, markBound)
	}
	s.say("data centre %s is back", dc)
	if err := s.scene.Mark(context.WithoutCancel(ctx)); err != nil {
		s.failed(ctx, "mark", err)
	}
}

// leave makes an upstream leave, as mark does with a data centre.
func (s *Soak) leave(ctx context.Context, step *Step) {
	if step.Draw%3 > 0 {
		s.calm.Lock()
		defer s.calm.Unlock()
	}
	name, ok := s.takeUpstream(step.Draw >> 8)
	if !ok {
		return
	}
	defer s.freeUpstream(name)
	if time.Until(s.began.Add(s.Time)) < leaveBound+2*markWatch || ctx.Err() != nil {
		return
	}
	s.change.Lock()
	defer s.change.Unlock()
	u := s.scene.Upstreams[name]
	s.say("%s leaves", name)
	if err := s.scene.Leave(ctx, name, true); err != nil {
		s.failed(ctx, "leave", err)
		return
	}
	left := time.Now()
	sleep(ctx, leaveBound)
	before := u.Counts().AfterLeaving
	sleep(ctx, markWatch)
	n := u.Counts().AfterLeaving - before
	if s.judge(!s.isHindered(left)) && n > 0 {
		s.broken("%s: %d sub-requests arrived more than %v after it began to leave", name, n, leaveBound)
	}
	s.say("%s is back, cold", name)
	if err := s.scene.Leave(context.WithoutCancel(ctx), name, false); err != nil {
		s.failed(ctx, "return", err)
	}
}

// failed notes an operator's call that failed though the platform was there.
func (s *Soak) failed(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		s.broken("%s failed: %v", what, err)
	}
}

func (s *Soak) edit(ctx context.Context, step *Step) {
	s.change.Lock()
	defer s.change.Unlock()
	value := fmt.Sprintf("%dms", 2000+step.Draw%1000)
	got, err := s.editor.Edit(ctx, &zlsync.Settings, &zlsync.Edit{
		By:     "soak",
		Reason: "soak",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return []zlhistory.Change{
				{
					Path: string(s.scene.Plan.Deployment),
					Key:  "deadline",
					New:  value,
				},
			}, r.Head().Serial, nil
		},
	})
	if err != nil {
		s.failed(ctx, "edit", err)
		return
	}
	accepted := time.Now()
	s.say("the settings are changed, serial %d", got.Serial)
	for !s.inForce(got.Serial) {
		if time.Since(accepted) > editBound {
			if s.judge(!s.isHindered(accepted)) {
				s.broken("serial %d is not in force everywhere after %v", got.Serial, editBound)
			}
			return
		}
		if !sleep(ctx, editLook) {
			return
		}
	}
	s.judge(true)
	s.say("serial %d is in force after %v", got.Serial, time.Since(accepted).Round(time.Millisecond))
}

// inForce reports whether all daemons that no step holds have a serial in force.
func (s *Soak) inForce(serial zlunit.Serial) bool {
	for _, p := range s.processes {
		if !p.mu.TryLock() {
			continue
		}
		has, err := newsOf(p.Ports[1], serial)
		p.mu.Unlock()
		if err != nil || !has {
			return false
		}
	}
	return true
}

var newsClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
	Timeout: time.Second,
}

func newsOf(admin string, serial zlunit.Serial) (bool, error) {
	resp, err := newsClient.Get("http://" + admin + "/status/news?only=self")
	if err != nil {
		return false, eris.Wrap(err, "news")
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var all []zlgossip.Status
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil || len(all) != 1 {
		return false, eris.Errorf("news: %d daemons, %v", len(all), err)
	}
	for _, o := range all[0].Objects {
		if o.Kind == string(zlsync.Settings.Kind) && o.Serial >= serial {
			return true, nil
		}
	}
	return false, nil
}

func (s *Soak) reshard(ctx context.Context, step *Step) {
	s.change.Lock()
	defer s.change.Unlock()
	service := s.scene.Plan.Services[0].Name
	shards := s.scene.Plan.Services[0].Shards
	if step.Draw%2 == 0 {
		shards += moreShards
	}
	s.say("service %s gets a new version with %d shards", service, shards)
	if err := s.scene.Repartition(ctx, service, shards); err != nil {
		s.failed(ctx, "new version", err)
		return
	}
	if err := s.catalogs.Read(ctx); err != nil {
		s.failed(ctx, "catalogues", err)
	}
	sleep(ctx, overlap)
	if err := s.scene.Retire(context.WithoutCancel(ctx), service); err != nil {
		s.failed(ctx, "old version", err)
	}
}
