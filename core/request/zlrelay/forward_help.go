package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

const (
	// minHelpPause and maxHelpPause bound how long no parts of a service are forwarded
	// for want of a replica that can be reached, after other VMs could not serve them
	// either; the pause doubles each time.
	minHelpPause = 250 * time.Millisecond
	maxHelpPause = 8 * time.Second
	// probeTimeout is how long a probe waits for a connection.
	probeTimeout = 250 * time.Millisecond
)

// Connector opens connections to replicas.
type Connector interface {
	// Connect opens a connection to a replica, keeps it for a later request and reports
	// whether it could. It is called concurrently.
	Connect(ctx context.Context, e *zlregistry.Entry) bool
}

// Probe reports whether a connection to some replica can be opened.
func (r *Relay) Probe() bool {
	view := r.Registry.Current()
	var list []*zlregistry.Entry
	for _, entries := range view.Replicas {
		for _, e := range entries {
			if !view.OutOfService[e.DataCentre] {
				list = append(list, e)
			}
		}
	}
	if len(list) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return r.Connector.Connect(ctx, list[int(r.randomFloat()*float64(len(list)))])
}

// helpPause is how long it is of no use to ask other VMs for a service.
//
// Load pattern: all replicas of a service are down, for every VM.
type helpPause struct {
	until  time.Time
	length time.Duration
}

// helps reports whether another VM may serve a service whose replicas this VM does not
// reach.
func (r *Relay) helps(s zlunit.Service) bool {
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.helpPauses[s].until)
}

// noteHelp notes for which services of a forward another VM had an answer.
func (x *run) noteHelp(a *forwardAttempt) {
	if a.reason != zldecision.ReasonUnreached {
		return
	}
	r := x.relay
	now := r.Timer.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.helpPauses == nil {
		r.helpPauses = map[zlunit.Service]helpPause{}
	}
	for _, fp := range a.parts {
		s := fp.part.service
		if fp.part.response != nil {
			delete(r.helpPauses, s)
			continue
		}
		length := min(max(2*r.helpPauses[s].length, minHelpPause), maxHelpPause)
		r.helpPauses[s] = helpPause{
			until:  now.Add(length),
			length: length,
		}
	}
}

// forwardVersion returns the least table version by which another VM may serve: the newest
// by which this VM or another one has served for its callers.
func (r *Relay) forwardVersion(view *zlregistry.View) zltable.Version {
	return max(view.Table.Version, zltable.Version(r.newestForwardVersion.Load()))
}

// noteForwardVersion notes the table version by which another VM served.
func (r *Relay) noteForwardVersion(v zltable.Version) {
	for known := r.newestForwardVersion.Load(); known < uint64(v) && !r.newestForwardVersion.CompareAndSwap(known, uint64(v)); {
		known = r.newestForwardVersion.Load()
	}
}

// servingPeers names the VMs that serve for this one.
func (r *Relay) servingPeers() []zlunit.VM {
	if r.Peers == nil {
		return nil
	}
	return r.Peers.Serving(r.Timer.Now())
}

// enter adds the run to those that WakeAll wakes.
func (x *run) enter() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[*run]struct{}{}
	}
	r.runs[x] = struct{}{}
}

func (x *run) leave() {
	x.endTry()
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, x)
}

// WakeAll makes all requests under way decide anew, after the uplink was lost.
func (r *Relay) WakeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.runs {
		x.wake()
	}
}
