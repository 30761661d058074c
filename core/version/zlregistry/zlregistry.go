// Package zlregistry holds what a process of the relay knows of replicas, data
// centres and routes, as one immutable View at a time; its counterpart in zinnialock
// serve is zlview. A Registry takes updates, ignores those that are older than what
// it has, and publishes the next view. It reads nothing from the platform itself
// (see zlwatcher) and places no requests.
package zlregistry

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// Replica is one incarnation of a replica, as it registered itself.
type Replica struct {
	ID         zlunit.Upstream
	Service    zlunit.Service
	Address    string
	DataCentre zlunit.DataCentre
	// Build is the version that the replica registered with; empty if it named none.
	Build zlunit.Build `cbor:",omitempty"`
	// Slots is how many requests the replica runs at once.
	Slots int
	// Draining is true if the replica takes no new work.
	Draining bool
	// ColdFor is how long the replica would still be cold when it wrote the entry.
	ColdFor time.Duration
	// Incarnation identifies the incarnation among those of the same id; larger is later.
	// Its name in messages between VMs is Born.
	Incarnation int64 `cbor:"Born"`
	// Seq numbers the entries of one incarnation.
	Seq uint64
}

// older reports whether r was written before other, which has the same id.
func (r *Replica) older(other *Replica) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation < other.Incarnation
	}
	return r.Seq < other.Seq
}

// Entry is a replica in a view.
type Entry struct {
	Replica
	// ColdUntil is the end of the replica's cold time on this process's clock; zero
	// if it was never cold.
	ColdUntil time.Time
	// FirstSeen is when this process first learned of this incarnation.
	FirstSeen time.Time
}

// Cold reports whether the replica is cold at now.
func (e *Entry) Cold(now time.Time) bool {
	return now.Before(e.ColdUntil)
}

// View is all that is known at one moment. It is immutable.
type View struct {
	// Table is the routing table in force; nil until one is known.
	Table *zltable.Table
	// PendingKeys is the newest table with organisations among those that wait, or nil.
	PendingKeys *zltable.Table
	// Replicas holds the replicas that may get new work, by service and sorted by id.
	Replicas map[zlunit.Service][]*Entry
	// OutOfService names the data centres that may get no work.
	OutOfService map[zlunit.DataCentre]bool
	// TableAt, ReplicasAt and OutOfServiceAt are the times of the latest confirmations; zero
	// if there was none.
	TableAt        time.Time
	ReplicasAt     time.Time
	OutOfServiceAt time.Time
}

// Ready reports whether requests can be served from the view.
func (v *View) Ready() bool {
	return v.Table != nil && !v.ReplicasAt.IsZero()
}

// KeyTable returns the table whose organisations and keys apply, nil if no table is known.
// Keys that operators gave or took do not wait for warm replicas as the routes of a pending
// table do. A pending table without organisations, which lets all callers in, does.
func (v *View) KeyTable() *zltable.Table {
	if v.PendingKeys != nil {
		return v.PendingKeys
	}
	return v.Table
}

// ReplicaCount returns the number of replicas that may get new work.
func (v *View) ReplicaCount() int {
	n := 0
	for _, list := range v.Replicas {
		n += len(list)
	}
	return n
}
