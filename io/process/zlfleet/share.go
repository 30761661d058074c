package zlfleet

import (
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
)

var _ zlexecutor.Leases = (*Fleet)(nil)

// capacityOf returns the capacity of u.
func capacityOf(u zlcatalog.Upstream) zllease.Capacity {
	return zllease.Capacity{
		Name:        u.Name,
		Slots:       u.Slots,
		Connections: u.Connections,
		Cold:        u.ColdLimit,
	}
}

// Grant implements zlexecutor.Leases. It returns this daemon's current share of u,
// or a refusal if it has none.
func (f *Fleet) Grant(u zlcatalog.Upstream) zlexecutor.Grant {
	s := f.leases.Share(capacityOf(u), f.Timer.Now())
	if !s.OK {
		f.Count(CountRefusal, string(s.Reason))
		return zlexecutor.Grant{
			Refusal: zlquery.ReasonNotHolder,
		}
	}
	return zlexecutor.Grant{
		Until:       s.Until,
		Slots:       s.Slots,
		Cold:        s.Cold,
		Connections: s.Connections,
	}
}

// eventKinds has the event to record when the reason of a share changes.
var eventKinds = map[zllease.Reason]zlevent.Kind{
	zllease.ReasonHeld:                zlevent.KindUpstreamTaken,
	zllease.ReasonNotHolder:           zlevent.KindUpstreamGiven,
	zllease.ReasonEarlierHolderSilent: zlevent.KindUpstreamReduced,
	zllease.ReasonLeaseExpiredReduced: zlevent.KindLeaseStranded,
	zllease.ReasonLeaseExpired:        zlevent.KindLeaseOver,
}

// recordShares records changes of this daemon's shares, and closes the idle
// connections to upstreams that it does not hold any more.
func (f *Fleet) recordShares(now time.Time) {
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
		s := f.leases.Share(capacityOf(u), now)
		if !s.OK && s.Reason != zllease.ReasonWaitingForEarlierHolder {
			f.Drained(name)
		}
		f.recordShare(name, s.Reason, now)
	}
}

// recordShare adds an event if the reason of the share of an upstream has changed.
func (f *Fleet) recordShare(name zlunit.Upstream, why zllease.Reason, now time.Time) {
	f.mu.Lock()
	old, ok := f.shareReasons[name]
	f.shareReasons[name] = why
	f.mu.Unlock()
	if old == why || !ok && why == zllease.ReasonNotHolder {
		return
	}
	if kind, ok := eventKinds[why]; ok {
		f.Events.Add(zlevent.Event{
			At:      now,
			Kind:    kind,
			Subject: string(name),
			Why:     string(why),
		})
	}
}

// Held is an upstream that the roster assigns to this daemon, with its share of it.
type Held struct {
	// Upstream is the name of the upstream.
	Upstream zlunit.Upstream `json:"upstream"`
	// Reason is the reason for the size of the share.
	Reason zllease.Reason `json:"why"`
	// Usable is true if this daemon may send to the upstream now.
	Usable bool `json:"usable"`
	// LeaseLeftMs is the time until the share expires, in milliseconds; 0 if the
	// upstream is not usable.
	LeaseLeftMs int64 `json:"leaseLeftMs"`
	// Slots is the maximum of requests in flight.
	Slots zlunit.Slots `json:"slots"`
	// Cold is the maximum of requests in flight while the upstream is cold.
	Cold zlunit.Slots `json:"cold"`
	// Connections is the maximum of connections.
	Connections zlunit.Connections `json:"connections"`
	// EarlierHolders names the earlier holders that may still have requests at the
	// upstream.
	EarlierHolders []zlunit.VM `json:"waiting,omitempty"`
}

// Status is the membership of a daemon as the daemon itself knows it.
type Status struct {
	// VM is the VM of the daemon.
	VM zlunit.VM `json:"vm"`
	// DataCentre is the home data centre.
	DataCentre zlunit.DataCentre `json:"dataCentre"`
	// Incarnation identifies the start of the process.
	Incarnation zlunit.Incarnation `json:"incarnation"`
	// State is starting until the daemon is a member, then ready, then leaving.
	State zlroster.State `json:"state"`
	// Epoch is the epoch of the roster in force.
	Epoch zlunit.ObjectVersion `json:"epoch"`
	// LatestEpoch is the newest epoch that the daemon has heard of.
	LatestEpoch zlunit.ObjectVersion `json:"latestEpoch"`
	// LeaseLeftMs is the time until the lease expires, in milliseconds.
	LeaseLeftMs int64 `json:"leaseLeftMs"`
	// Guarantors are the members whose replies extend the lease (JSON: vouchers).
	Guarantors []zlunit.VM `json:"vouchers"`
	// Suspected are the members that the daemon suspects to have failed (JSON:
	// doubted).
	Suspected []zlunit.VM `json:"doubted,omitempty"`
	// Held are the upstreams that the roster assigns to the daemon.
	Held []Held `json:"held"`
}

// Status returns the current status.
func (f *Fleet) Status() Status {
	now := f.Timer.Now()
	s := Status{
		VM:          f.Self.VM,
		DataCentre:  f.Home,
		Incarnation: f.Self.Incarnation,
		State:       f.state(),
		LeaseLeftMs: f.leases.Remaining(now).Milliseconds(),
		Held:        []Held{},
	}
	s.Epoch, s.LatestEpoch = f.leases.Epoch()
	for _, v := range f.leases.Guarantors() {
		s.Guarantors = append(s.Guarantors, v.VM)
	}
	for _, m := range f.detector.Suspects(now) {
		s.Suspected = append(s.Suspected, m.VM)
	}
	f.mu.Lock()
	view := f.view
	f.mu.Unlock()
	if view == nil {
		return s
	}
	for _, h := range f.leases.Held(now) {
		if u, ok := view.Upstream(h.Upstream); ok {
			s.Held = append(s.Held, f.heldStatus(u, h.EarlierHolders, now))
		}
	}
	return s
}

// heldStatus returns the status of u, which this daemon holds.
func (f *Fleet) heldStatus(u zlcatalog.Upstream, earlierHolders []zlunit.VM, now time.Time) Held {
	share := f.leases.Share(capacityOf(u), now)
	h := Held{
		Upstream:       u.Name,
		Reason:         share.Reason,
		Usable:         share.OK,
		Slots:          share.Slots,
		Cold:           share.Cold,
		Connections:    share.Connections,
		EarlierHolders: earlierHolders,
	}
	if share.OK {
		h.LeaseLeftMs = share.Until.Sub(now).Milliseconds()
	}
	return h
}

// Settled reports whether this daemon is a member with a valid lease and has the
// full share of every upstream that it holds.
func (f *Fleet) Settled() bool {
	if !f.Member() || f.leases.Remaining(f.Timer.Now()) <= 0 {
		return false
	}
	for _, h := range f.Status().Held {
		if h.Reason != zllease.ReasonHeld {
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
