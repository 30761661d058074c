// Package zlregistry holds what is believed of replicas, data centres and
// routes, as one immutable view at a time. A Book takes news in, refuses what is
// older than what it knows, and publishes the next view.
package zlregistry

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Replica is one life of a replica as it registered itself.
type Replica struct {
	ID         zlunit.Upstream
	Service    zlunit.Service
	Address    string
	DataCentre zlunit.DataCentre
	Slots      int
	Draining   bool
	// ColdFor is how long it was still cold when it wrote the entry.
	ColdFor time.Duration
	// Born tells lives under one id apart; larger is later.
	Born int64
	// Seq counts the entries of one life.
	Seq uint64
}

// older reports whether r was written before other, which has the same id.
func (r *Replica) older(other *Replica) bool {
	if r.Born != other.Born {
		return r.Born < other.Born
	}
	return r.Seq < other.Seq
}

// Entry is a replica in a view.
type Entry struct {
	Replica
	// ColdUntil is the end of its cold time on this process's clock.
	ColdUntil time.Time
	// Since is when this process first knew of this life.
	Since time.Time
}

// Cold reports whether the replica is cold at now.
func (e *Entry) Cold(now time.Time) bool {
	return now.Before(e.ColdUntil)
}

// View is all that is believed at one moment. It does not change.
type View struct {
	// Table is nil until one is known.
	Table *zltable.Table
	// Replicas holds, for each service, those that may get new work.
	Replicas map[zlunit.Service][]*Entry
	// Out names the data centres that may get no work.
	Out map[zlunit.DataCentre]bool
	// TableAt, ReplicasAt and OutAt tell when each was last confirmed.
	TableAt    time.Time
	ReplicasAt time.Time
	OutAt      time.Time
}

// Ready reports whether requests can be served from the view.
func (v *View) Ready() bool {
	return v.Table != nil && !v.ReplicasAt.IsZero()
}
