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

// withdrawal is what is taken out of use for a time and brought back.
type withdrawal struct {
	what string
	// bound is after what time nothing new arrives there.
	bound   time.Duration
	out     func(ctx context.Context) error
	arrived func() int64
	back    func(ctx context.Context) error
}

// withdraw does so and judges the bound. Two of three wait until nothing hinders
// the news; the others come in the midst of it.
func (s *Soak) withdraw(ctx context.Context, step *Step, w *withdrawal) {
	if step.Draw%3 > 0 {
		s.calm.Lock()
		defer s.calm.Unlock()
	}
	if time.Until(s.began.Add(s.Time)) < w.bound+2*markWatch || ctx.Err() != nil {
		return
	}
	s.change.Lock()
	defer s.change.Unlock()
	s.say("%s is taken out", w.what)
	if err := w.out(ctx); err != nil {
		s.failed(ctx, "taking out "+w.what, err)
		return
	}
	out := time.Now()
	sleep(ctx, w.bound)
	before := w.arrived()
	sleep(ctx, markWatch)
	n := w.arrived() - before
	if s.judge(!s.isHindered(out)) && n > 0 {
		s.broken("%s: %d sub-requests arrived more than %v after it was taken out", w.what, n, w.bound)
	}
	s.say("%s is back", w.what)
	if err := w.back(context.WithoutCancel(ctx)); err != nil {
		s.failed(ctx, "bringing back "+w.what, err)
	}
}

// mark takes a data centre out of service and back.
func (s *Soak) mark(ctx context.Context, step *Step) {
	plan := s.scene.Plan.DataCentres
	dc := plan[(step.Draw>>8)%uint64(len(plan))]
	s.withdraw(ctx, step, &withdrawal{
		what:  "data centre " + string(dc),
		bound: markBound,
		out: func(ctx context.Context) error {
			return s.scene.Mark(ctx, dc)
		},
		arrived: func() int64 {
			return s.scene.Received(dc)
		},
		back: func(ctx context.Context) error {
			return s.scene.Mark(ctx)
		},
	})
}

// leave makes an upstream leave, and come back cold.
func (s *Soak) leave(ctx context.Context, step *Step) {
	name, ok := s.takeUpstream(step.Draw >> 8)
	if !ok {
		return
	}
	defer s.freeUpstream(name)
	s.withdraw(ctx, step, &withdrawal{
		what:  "upstream " + string(name),
		bound: leaveBound,
		out: func(ctx context.Context) error {
			return s.scene.Leave(ctx, name, true)
		},
		arrived: func() int64 {
			return s.scene.Upstreams[name].Counts().AfterLeaving
		},
		back: func(ctx context.Context) error {
			return s.scene.Leave(ctx, name, false)
		},
	})
}

// failed notes an operator's call that failed though the platform was there.
func (s *Soak) failed(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		s.broken("%s failed: %v", what, err)
	}
}

// edit changes the settings and judges when they are in force. Two of three edits
// wait until nothing hinders the news, as few would be judged else.
func (s *Soak) edit(ctx context.Context, step *Step) {
	if step.Draw%3 > 0 {
		s.calm.Lock()
		defer s.calm.Unlock()
	}
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
