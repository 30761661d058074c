package zlregistry

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// ChangeNotice describes one change of what the registry holds.
type ChangeNotice struct {
	// Subject is the replica, data centre or version concerned.
	Subject string
	// Change is what changed: added, draining, held or gone of a replica; out or in of a
	// data centre; table (in force) or coming (pending) of a table.
	Change string
	// Service is set for replicas only.
	Service zlunit.Service
	// Keys is set if the notice is about the keys that callers may use, and then only.
	Keys *zltable.KeyChange
}

// addNotice queues a notice for OnChange. The caller holds mu.
func (r *Registry) addNotice(subject, what string, service zlunit.Service) {
	if r.OnChange != nil {
		r.notices = append(r.notices, ChangeNotice{
			Subject: subject,
			Change:  what,
			Service: service,
		})
	}
}

// addKeyNotice queues a notice for OnChange if another table decides on keys and has others.
// The caller holds mu.
func (r *Registry) addKeyNotice(before, after *zltable.Table) {
	if r.OnChange == nil || before == after {
		return
	}
	if change := after.ChangeFrom(before); change != nil {
		r.notices = append(r.notices, ChangeNotice{
			Subject: "organisations",
			Change:  "keys",
			Keys:    change,
		})
	}
}

// unlockAndNotify unlocks mu and passes the queued notices to OnChange.
func (r *Registry) unlockAndNotify() {
	notices := r.notices
	r.notices = nil
	r.closeIfReady()
	r.mu.Unlock()
	for _, n := range notices {
		r.OnChange(n)
	}
}
