package zlcoord

import (
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlbudget"
	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/version/zltree"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

const (
	// hedgeBurst and retryBurst are the most tokens kept for hedges and
	// retries. Retries have more, since a daemon that dies takes a share of
	// all sub-requests in flight with it.
	hedgeBurst = 16
	hedgeStart = 4
	retryBurst = 256
	// goneFor is how long a version that upstreams no longer hold is left
	// out of plans. It ends, since a lagging upstream may yet load it.
	goneFor = time.Second
	// maxProfiles bounds the query kinds that are told apart in each shard
	// of the table; callers choose their names.
	maxProfiles   = 64
	profileShards = 16
	// fastQuantile is the quantile below which no reply is hoped for.
	fastQuantile = 0.01
	// freshFor is how long ago a reply must be for tooLate to rest on it.
	freshFor = 250 * time.Millisecond
)

type profileKey struct {
	service zlunit.Service
	kind    zlunit.QueryKind
}

// profile is what a daemon has measured and cached for one query kind of a
// service.
type profile struct {
	key     profileKey
	latency zlquantile.Tracker
	hedges  zlbudget.Bucket
	retries zlbudget.Bucket
	policy  atomic.Pointer[cachedPolicy]
	plans   atomic.Pointer[cachedPlan]

	mu   sync.Mutex
	gone map[zlunit.IndexVersion]time.Time
}

type cachedPolicy struct {
	view   *zlview.View
	policy zltree.Policy
}

// cachedPlan holds the plan for a view that is fresh or not, until a time.
type cachedPlan struct {
	view  *zlview.View
	fresh bool
	plan  *zlplan.Plan
	// until is when a version left out is tried again; zero means never.
	until time.Time
}

type profileTable struct {
	shards [profileShards]profileShard
}

type profileShard struct {
	mu       sync.RWMutex
	profiles map[profileKey]*profile
}

// get returns the profile of a query kind. Beyond the bound, kinds of one
// service share a profile that goes by the service's own settings.
func (t *profileTable) get(service zlunit.Service, kind zlunit.QueryKind) *profile {
	key := profileKey{
		service: service,
		kind:    kind,
	}
	s := &t.shards[xxhash.Sum64String(string(service))%profileShards]
	s.mu.RLock()
	p, ok := s.profiles[key]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.profiles) >= maxProfiles {
		key.kind = ""
	}
	if p, ok := s.profiles[key]; ok {
		return p
	}
	if s.profiles == nil {
		s.profiles = map[profileKey]*profile{}
	}
	p = newProfile(key)
	s.profiles[key] = p
	return p
}

func newProfile(key profileKey) *profile {
	p := &profile{
		key: key,
		hedges: zlbudget.Bucket{
			Burst: hedgeBurst,
		},
		retries: zlbudget.Bucket{
			Burst: retryBurst,
		},
		gone: map[zlunit.IndexVersion]time.Time{},
	}
	// A daemon that has sent nothing yet has earned few hedges.
	p.hedges.Drop(hedgeBurst - hedgeStart)
	return p
}

// policyOf resolves the settings tree, once for each view.
func (p *profile) policyOf(view *zlview.View) *zltree.Policy {
	c := p.policy.Load()
	if c == nil || c.view != view {
		c = &cachedPolicy{
			view:   view,
			policy: view.Policy(p.key.service, p.key.kind),
		}
		p.policy.Store(c)
	}
	return &c.policy
}

// plan returns the plan for a new query. It is made once for each view, unless
// replicas coming back into service were drawn for this query alone.
func (p *profile) plan(c *Coordinator, view *zlview.View, policy *zltree.Policy, now time.Time) (*zlplan.Plan, error) {
	age := c.Views.Age(now)
	fresh := age <= policy.ViewAge
	cached := p.plans.Load()
	if cached != nil && cached.view == view && cached.fresh == fresh && (cached.until.IsZero() || now.Before(cached.until)) {
		return cached.plan, nil
	}
	gone, until := p.goneAt(now)
	maker := &zlplan.Maker{
		View:   view,
		Age:    age,
		Now:    now,
		Policy: policy,
		Router: c.Router,
		Gone:   gone,
	}
	plan, err := maker.Make(p.key.service)
	if err != nil && len(gone) > 0 {
		// All versions are said to be gone: what is left of one is better.
		maker.Gone = nil
		plan, err = maker.Make(p.key.service)
	}
	if err != nil {
		return nil, err
	}
	if plan.Spare != nil {
		return plan, nil
	}
	p.plans.Store(&cachedPlan{
		view:  view,
		fresh: fresh,
		plan:  plan,
		until: until,
	})
	return plan, nil
}

// markGone leaves a version out of plans for a while.
func (p *profile) markGone(v zlunit.IndexVersion, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone[v] = now.Add(goneFor)
	p.plans.Store(nil)
}

// goneAt returns the versions left out at now and when the first comes back.
func (p *profile) goneAt(now time.Time) (map[zlunit.IndexVersion]bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[zlunit.IndexVersion]bool{}
	var until time.Time
	for v, end := range p.gone {
		if !now.Before(end) {
			delete(p.gone, v)
			continue
		}
		out[v] = true
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return out, until
}

// tooLate reports whether left is less than even the fastest replies take, as
// seen a moment ago.
func (p *profile) tooLate(now time.Time, left time.Duration) bool {
	since, ok := p.latency.Since(now)
	if !ok || since > freshFor {
		return false
	}
	fast, ok := p.latency.Quantile(now, fastQuantile)
	return ok && left < fast
}
