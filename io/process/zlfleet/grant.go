package zlfleet

import (
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
)

var _ zlaggregator.Leases = (*Fleet)(nil)

func use(u zlcatalog.Upstream) zllease.Capacity {
	return zllease.Capacity{
		Name:        u.Name,
		Slots:       u.Slots,
		Connections: u.Connections,
		Cold:        u.ColdLimit,
	}
}

// Grant implements zlaggregator.Leases.
func (f *Fleet) Grant(u zlcatalog.Upstream) zlaggregator.Grant {
	s := f.tenure.Share(use(u), f.Timer.Now())
	if !s.OK {
		f.Count(CountRefusal, string(s.Reason))
		return zlaggregator.Grant{
			Refusal: zlquery.ReasonNotHolder,
		}
	}
	return zlaggregator.Grant{
		Until:       s.Until,
		Slots:       s.Slots,
		Cold:        s.Cold,
		Connections: s.Connections,
	}
}

var whyEvents = map[zllease.Reason]zlevent.Kind{
	zllease.ReasonHeld:                zlevent.KindUpstreamTaken,
	zllease.ReasonNotHolder:           zlevent.KindUpstreamGiven,
	zllease.ReasonEarlierHolderSilent: zlevent.KindUpstreamReduced,
	zllease.ReasonLeaseExpiredReduced: zlevent.KindLeaseStranded,
	zllease.ReasonLeaseExpired:        zlevent.KindLeaseOver,
}

// noteShares records each change of what this daemon may use, and closes what
// is left of what it gave up.
func (f *Fleet) noteShares(now time.Time) {
	f.mu.Lock()
	view := f.view
	f.mu.Unlock()
	if view == nil {
		return
	}
	for name, u := range view.Upstreams() {
		if u.DataCentre != f.Home {
			continue
		}
		s := f.tenure.Share(use(u), now)
		if !s.OK && s.Reason != zllease.ReasonWaitingForEarlierHolder {
			f.Drained(name)
		}
		f.noteShare(name, s.Reason, now)
	}
}

func (f *Fleet) noteShare(name zlunit.Upstream, why zllease.Reason, now time.Time) {
	f.mu.Lock()
	old, ok := f.shares[name]
	f.shares[name] = why
	f.mu.Unlock()
	if old == why || !ok && why == zllease.ReasonNotHolder {
		return
	}
	if kind, ok := whyEvents[why]; ok {
		f.Events.Add(zlevent.Event{
			At:      now,
			Kind:    kind,
			Subject: string(name),
			Why:     string(why),
		})
	}
}

// Held is an upstream that this daemon holds, and on what terms.
type Held struct {
	Upstream    zlunit.Upstream    `json:"upstream"`
	Why         zllease.Reason     `json:"why"`
	Usable      bool               `json:"usable"`
	LeaseLeftMs int64              `json:"leaseLeftMs"`
	Slots       zlunit.Slots       `json:"slots"`
	Cold        zlunit.Slots       `json:"cold"`
	Connections zlunit.Connections `json:"connections"`
	// Waiting names the earlier holders that are not accounted for.
	Waiting []zlunit.VM `json:"waiting,omitempty"`
}

// Status is a daemon's own view of its part in the fleet.
type Status struct {
	VM          zlunit.VM            `json:"vm"`
	DataCentre  zlunit.DataCentre    `json:"dataCentre"`
	Incarnation zlunit.Incarnation   `json:"incarnation"`
	State       zlroster.State       `json:"state"`
	Epoch       zlunit.ObjectVersion `json:"epoch"`
	LatestEpoch zlunit.ObjectVersion `json:"latestEpoch"`
	LeaseLeftMs int64                `json:"leaseLeftMs"`
	Vouchers    []zlunit.VM          `json:"vouchers"`
	Doubted     []zlunit.VM          `json:"doubted,omitempty"`
	Held        []Held               `json:"held"`
}

// Status returns what this daemon knows of its part now.
func (f *Fleet) Status() Status {
	now := f.Timer.Now()
	s := Status{
		VM:          f.Self.VM,
		DataCentre:  f.Home,
		Incarnation: f.Self.Incarnation,
		State:       f.state(),
		LeaseLeftMs: f.tenure.Remaining(now).Milliseconds(),
		Held:        []Held{},
	}
	s.Epoch, s.LatestEpoch = f.tenure.Epoch()
	for _, v := range f.tenure.Guarantors() {
		s.Vouchers = append(s.Vouchers, v.VM)
	}
	for _, m := range f.detector.Suspects(now) {
		s.Doubted = append(s.Doubted, m.VM)
	}
	f.mu.Lock()
	view := f.view
	f.mu.Unlock()
	if view == nil {
		return s
	}
	for _, h := range f.tenure.Held(now) {
		if u, ok := view.Upstream(h.Upstream); ok {
			s.Held = append(s.Held, f.held(u, h.EarlierHolders, now))
		}
	}
	return s
}

func (f *Fleet) held(u zlcatalog.Upstream, waiting []zlunit.VM, now time.Time) Held {
	share := f.tenure.Share(use(u), now)
	h := Held{
		Upstream:    u.Name,
		Why:         share.Reason,
		Usable:      share.OK,
		Slots:       share.Slots,
		Cold:        share.Cold,
		Connections: share.Connections,
		Waiting:     waiting,
	}
	if share.OK {
		h.LeaseLeftMs = share.Until.Sub(now).Milliseconds()
	}
	return h
}

// Settled reports whether this daemon is in the roster, has its lease and may
// use the whole of all that it holds.
func (f *Fleet) Settled() bool {
	if !f.Member() || f.tenure.Remaining(f.Timer.Now()) <= 0 {
		return false
	}
	for _, h := range f.Status().Held {
		if h.Why != zllease.ReasonHeld {
			return false
		}
	}
	return true
}

func (f *Fleet) state() zlroster.State {
	switch {
	case f.leaving.Load():
		return zlroster.StateLeaving
	case f.Member():
		return zlroster.StateReady
	default:
		return zlroster.StateStarting
	}
}
