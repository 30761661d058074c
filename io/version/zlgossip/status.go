package zlgossip

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlroster"
)

// Status describes what one daemon holds. Ages are durations, since the clocks of
// daemons differ.
type Status struct {
	VM         zlunit.VM         `json:"vm" cbor:"1,keyasint"`
	DataCentre zlunit.DataCentre `json:"dataCentre" cbor:"2,keyasint"`
	// Objects lists the objects in force of the kinds in Gossip.ListedKinds.
	Objects []ObjectStatus `json:"objects" cbor:"3,keyasint"`
	// Held counts the objects of all kinds.
	Held int `json:"held" cbor:"7,keyasint"`
	// Digest is equal in two daemons that hold the same objects.
	Digest string `json:"digest" cbor:"8,keyasint"`
	// Rejected lists the newer objects that were rejected (JSON: refused).
	Rejected []RejectedStatus `json:"refused,omitempty" cbor:"4,keyasint,omitempty"`
	// ViewAgeMs is the time since the view was confirmed, by the platform or
	// through other daemons; -1 means never.
	ViewAgeMs int64 `json:"viewAgeMs" cbor:"5,keyasint"`
	// PlatformAgeMs is the time since the platform itself confirmed the view to
	// this daemon; -1 means never.
	PlatformAgeMs int64 `json:"platformAgeMs" cbor:"6,keyasint"`
	// Unreachable is the reason why the daemon did not answer, in the status of a
	// fleet (JSON: silent); it is empty if it did.
	Unreachable string `json:"silent,omitempty" cbor:"-"`
}

// ObjectStatus is an object in force at a daemon.
type ObjectStatus struct {
	Kind    string               `json:"kind" cbor:"1,keyasint"`
	Name    string               `json:"name" cbor:"2,keyasint"`
	Serial  zlunit.Serial        `json:"serial,omitempty" cbor:"3,keyasint,omitempty"`
	Version zlunit.ObjectVersion `json:"version" cbor:"4,keyasint"`
	// InForceMs is the time since the object came into force at this daemon.
	InForceMs int64 `json:"inForceMs" cbor:"5,keyasint"`
	// Since is the daemon's local time at which it came into force.
	Since time.Time `json:"since" cbor:"6,keyasint"`
}

// RejectedStatus is a newer state of an object that a daemon rejected; the earlier
// one stays in force.
type RejectedStatus struct {
	Kind    string               `json:"kind" cbor:"1,keyasint"`
	Name    string               `json:"name" cbor:"2,keyasint"`
	Serial  zlunit.Serial        `json:"serial,omitempty" cbor:"3,keyasint,omitempty"`
	Version zlunit.ObjectVersion `json:"version" cbor:"4,keyasint"`
	// Reason is the error for which it was rejected.
	Reason string `json:"why" cbor:"5,keyasint"`
}

// Status returns what this daemon holds.
func (g *Gossip) Status() Status {
	now := g.Timer.Now()
	s := Status{
		VM:            g.Self,
		DataCentre:    g.Home,
		ViewAgeMs:     ageMs(now, g.Views.ConfirmedAt),
		PlatformAgeMs: ageMs(now, g.Objects.Confirmed),
	}
	store := g.Objects.Store()
	ranks := store.Ranks()
	s.Held = len(ranks)
	s.Digest = strconv.FormatUint(store.Digest(), 16)
	for key := range ranks {
		if item, ok := store.Get(key); ok && slices.Contains(g.ListedKinds, key.Kind) {
			s.Objects = append(s.Objects, objectStatus(item, now))
		}
	}
	sort.Slice(s.Objects, func(i, j int) bool {
		a, b := s.Objects[i], s.Objects[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
	})
	for _, r := range store.Rejected() {
		s.Rejected = append(s.Rejected, RejectedStatus{
			Kind:    r.Item.Key.Kind,
			Name:    r.Item.Key.Name,
			Serial:  r.Item.Rank.Serial,
			Version: r.Item.Rank.Version,
			Reason:  r.Err.Error(),
		})
	}
	return s
}

func objectStatus(item zlobject.Item, now time.Time) ObjectStatus {
	return ObjectStatus{
		Kind:      item.Key.Kind,
		Name:      item.Key.Name,
		Serial:    item.Rank.Serial,
		Version:   item.Rank.Version,
		InForceMs: now.Sub(item.AcceptedAt).Milliseconds(),
		Since:     item.AcceptedAt.UTC(),
	}
}

func ageMs(now time.Time, at func() (time.Time, bool)) int64 {
	t, ok := at()
	if !ok {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// maxStatusRequests bounds the concurrent requests of one fleet status.
const maxStatusRequests = 32

// FleetStatus requests the status of every daemon in the rosters, and returns
// them ordered by name, those without an answer included.
func (g *Gossip) FleetStatus(ctx context.Context) []Status {
	var members []zlroster.Member
	dataCentres := map[zlunit.VM]zlunit.DataCentre{}
	self := zlroster.Member{
		VM: g.Self,
	}
	if view := g.Views.Load(); view != nil {
		for dc, r := range view.Rosters {
			for _, m := range r.Members {
				members = append(members, m)
				dataCentres[m.VM] = dc
			}
		}
	}
	if _, listed := dataCentres[g.Self]; !listed {
		// This daemon has not joined its roster yet.
		members = append(members, self)
		dataCentres[g.Self] = g.Home
	}
	out := make([]Status, len(members))
	slots := make(chan struct{}, maxStatusRequests)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = g.fetchStatus(ctx, m)
			out[i].DataCentre = dataCentres[m.VM]
			<-slots
		})
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool {
		return out[i].VM < out[j].VM
	})
	return out
}

func (g *Gossip) fetchStatus(ctx context.Context, m zlroster.Member) Status {
	if m.VM == g.Self {
		return g.Status()
	}
	var s Status
	if err := g.request(ctx, requestTimeout, m.Peer, TopicStatus, struct{}{}, &s); err != nil {
		g.count("gossipFailed", "status")
		return Status{
			VM:          m.VM,
			Unreachable: err.Error(),
		}
	}
	return s
}
