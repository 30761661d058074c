package zlcoordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlquantile"
	"zinnialock/core/process/zltokenbucket"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlplan"
	"zinnialock/core/version/zlsettings"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
)

const (
	// hedgeBurst and retryBurst are the capacities of the budgets of hedges and
	// retries, in tokens. Retries have more, since a daemon that dies takes a
	// share of all sub-requests in flight with it.
	hedgeBurst = 16
	// initialHedges is how many tokens a new hedge budget holds.
	initialHedges = 4
	retryBurst    = 256
	// goneExclusion is how long plans exclude a version that upstreams no
	// longer hold. The exclusion ends, since a lagging upstream may yet load
	// the version.
	goneExclusion = time.Second
	// maxProfilesPerShard bounds the query kinds with a profile of their own in
	// each of the profileShards of the table, since callers choose the names of
	// kinds.
	maxProfilesPerShard = 64
	profileShards       = 16
	// fastQuantile is the quantile of the latency below which no reply is
	// expected.
	fastQuantile = 0.01
	// maxLatencyAge is the greatest age of the newest latency at which
	// deadlineUnreachable relies on the quantiles.
	maxLatencyAge = 250 * time.Millisecond
)

type profileKey struct {
	service zlunit.Service
	kind    zlunit.QueryKind
}

// profile holds what a daemon has measured and cached for one query kind of a
// service. It is safe for concurrent use.
type profile struct {
	key     profileKey
	latency zlquantile.Tracker
	// hedgeBudget and retryBudget are token buckets. Each hedge or retry takes one token.
	hedgeBudget zltokenbucket.Bucket
	retryBudget zltokenbucket.Bucket
	policy      atomic.Pointer[cachedPolicy]
	plans       atomic.Pointer[cachedPlan]

	mu sync.Mutex
	// goneUntil maps the versions that upstreams no longer hold to the end of
	// their exclusion from plans.
	goneUntil map[zlunit.IndexVersion]time.Time
}

// cachedPolicy is the policy of a query kind by one view.
type cachedPolicy struct {
	view   *zlview.View
	policy zlsettings.Policy
}

// cachedPlan is a plan and what it was made for.
type cachedPlan struct {
	view *zlview.View
	// viewFresh is true if the view was no older than Policy.ViewAge when the plan was
	// made.
	viewFresh bool
	plan      *zlplan.Plan
	// expires is when the exclusion of a version ends, so that a new plan may
	// use it; the zero time means never.
	expires time.Time
}

// profileTable maps query kinds to profiles. Its shards have a lock each.
type profileTable struct {
	shards [profileShards]profileShard
}

type profileShard struct {
	mu       sync.RWMutex
	profiles map[profileKey]*profile
}

// get returns the profile of a query kind and creates it on first use. Once the
// table is full, further kinds of a service share a profile that goes by the
// settings of the service.
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
	if len(s.profiles) >= maxProfilesPerShard {
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
		hedgeBudget: zltokenbucket.Bucket{
			Burst: hedgeBurst,
		},
		retryBudget: zltokenbucket.Bucket{
			Burst: retryBurst,
		},
		goneUntil: map[zlunit.IndexVersion]time.Time{},
	}
	// Sub-requests sent add tokens to the hedge budget. A new profile, which has
	// sent none, starts with initialHedges tokens instead of a full bucket.
	p.hedgeBudget.Drain(hedgeBurst - initialHedges)
	return p
}

// policyOf returns the policy of the query kind. It is resolved once for each
// view.
func (p *profile) policyOf(view *zlview.View) *zlsettings.Policy {
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

// plan returns the plan for a new query. Plans are cached until the view
// changes, except for one that includes replicas coming back into service,
// which are drawn for each query.
func (p *profile) plan(c *Coordinator, view *zlview.View, policy *zlsettings.Policy, now time.Time) (*zlplan.Plan, error) {
	age := c.Views.Age(now)
	viewFresh := age <= policy.ViewAge
	cached := p.plans.Load()
	if cached != nil && cached.view == view && cached.viewFresh == viewFresh && (cached.expires.IsZero() || now.Before(cached.expires)) {
		return cached.plan, nil
	}
	gone, expires := p.excludedVersions(now)
	planner := &zlplan.Planner{
		View:             view,
		Age:              age,
		Now:              now,
		Policy:           policy,
		Router:           c.Router,
		ExcludedVersions: gone,
	}
	plan, err := planner.Make(p.key.service)
	if err != nil && len(gone) > 0 {
		// Every version is excluded: partial coverage by one of them is better
		// than none.
		planner.ExcludedVersions = nil
		plan, err = planner.Make(p.key.service)
	}
	if err != nil {
		return nil, err
	}
	if plan.Fallback != nil {
		return plan, nil
	}
	p.plans.Store(&cachedPlan{
		view:      view,
		viewFresh: viewFresh,
		plan:      plan,
		expires:   expires,
	})
	return plan, nil
}

// markGone excludes a version from plans for goneExclusion.
func (p *profile) markGone(v zlunit.IndexVersion, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goneUntil[v] = now.Add(goneExclusion)
	p.plans.Store(nil)
}

// excludedVersions returns the versions that are excluded at now, and when the
// first exclusion ends.
func (p *profile) excludedVersions(now time.Time) (map[zlunit.IndexVersion]bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	excluded := map[zlunit.IndexVersion]bool{}
	var expires time.Time
	for v, end := range p.goneUntil {
		if !now.Before(end) {
			delete(p.goneUntil, v)
			continue
		}
		excluded[v] = true
		if expires.IsZero() || end.Before(expires) {
			expires = end
		}
	}
	return excluded, expires
}

// deadlineUnreachable reports whether left is shorter than even the fastest of
// the latest replies took. It reports false if too little is known.
func (p *profile) deadlineUnreachable(now time.Time, left time.Duration) bool {
	since, ok := p.latency.Since(now)
	if !ok || since > maxLatencyAge {
		return false
	}
	fast, ok := p.latency.Quantile(now, fastQuantile)
	return ok && left < fast
}
