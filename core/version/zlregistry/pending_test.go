package zlregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const (
	coldTime = 3 * time.Second
	bound    = 3 * time.Second
)

// index returns a route over n shards whose services begin with name.
func index(name string, n int) zltable.Route {
	r := zltable.Route{
		Name:        "lot",
		Host:        "h",
		Prefix:      "/lot/",
		MinCoverage: 0.8,
	}
	for i := range n {
		r.Shards = append(r.Shards, shard(name, i))
	}
	return r
}

func shard(name string, i int) zlunit.Service {
	return zlunit.Service(fmt.Sprintf("%s%d", name, i))
}

// reshardingRegistry returns a registry with a route over ten shards that have warm replicas, and
// with cold replicas of fifteen other shards.
func reshardingRegistry() *Registry {
	registry := &Registry{
		Timer: &zltimer.Service{},
	}
	registry.SetTable(table(1, index("old", 10)), time.Now(), time.Time{})
	var all []Change
	for i := range 10 {
		all = append(all, newEntry(shard("old", i), 0))
	}
	for i := range 15 {
		all = append(all, newEntry(shard("new", i), coldTime))
	}
	registry.Apply(all, time.Now())
	return registry
}

func table(v zltable.Version, routes ...zltable.Route) *zltable.Table {
	return zltable.New(v, routes, nil, zltable.Limits{})
}

func newEntry(s zlunit.Service, cold time.Duration) Change {
	id := zlunit.Upstream(s + "-1")
	return Change{
		ID: id,
		Replica: &Replica{
			ID:      id,
			Service: s,
			ColdFor: cold,
		},
	}
}

func (r *Registry) wantVersion(t *testing.T, want zltable.Version) {
	t.Helper()
	if got := r.Current().Table.Version; got != want {
		t.Errorf("got table version %d in force, want %d", got, want)
	}
}

// An index is resharded, and the table arrives before the new replicas are warm. It must
// come into force once they are.
func TestTableIsPendingUntilReplicasAreWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := reshardingRegistry()
		time.Sleep(coldTime - 800*time.Millisecond)
		if registry.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(bound)) {
			t.Error("SetTable: got table in force while its replicas are cold, want it pending")
		}
		time.Sleep(790 * time.Millisecond)
		registry.wantVersion(t, 1)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		registry.wantVersion(t, 2)
	})
}

// A pending table comes into force at its deadline, also if this process was paused
// past it and the timer has not run.
func TestPendingTableIsInForceAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := reshardingRegistry()
		registry.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		time.Sleep(time.Second - time.Millisecond)
		registry.wantVersion(t, 1)
		time.Sleep(time.Millisecond)
		registry.wantVersion(t, 2)
		registry.SetTable(table(3, index("third", 2)), time.Now(), time.Now().Add(time.Second))
		registry.mu.Lock()
		registry.pending.deadline = time.Now()
		registry.pendingDeadline.Store(&registry.pending.deadline)
		registry.mu.Unlock()
		registry.wantVersion(t, 3)
		time.Sleep(time.Minute)
	})
}

// A table comes into force at once unless its deadline is known and it moves a route to
// services of which one has no warm replica yet, while enough of the route's old
// services still have a replica in service.
func TestTableIsInForceAtOnceIfWaitingIsNoBetter(t *testing.T) {
	other := zltable.Route{
		Name:    "desk",
		Host:    "h",
		Prefix:  "/desk/",
		Targets: []zltable.Target{{Service: "desk"}},
	}
	for name, c := range map[string]struct {
		before   func(registry *Registry)
		table    *zltable.Table
		deadline time.Duration
	}{
		"the deadline is not known": {
			table: table(2, index("new", 15)),
		},
		"the old replicas are gone": {
			before: func(registry *Registry) {
				for i := range 3 {
					registry.Apply([]Change{{ID: zlunit.Upstream(shard("old", i) + "-1")}}, time.Now())
				}
			},
			table:    table(2, index("new", 15)),
			deadline: bound,
		},
		"the new replicas are warm": {
			before:   func(*Registry) { time.Sleep(coldTime) },
			table:    table(2, index("new", 15)),
			deadline: bound,
		},
		"a route is added": {
			table:    table(2, index("old", 10), other),
			deadline: bound,
		},
		"a route is dropped": {
			table:    table(2),
			deadline: bound,
		},
		"fewer of the same shards": {
			table:    table(2, index("old", 8)),
			deadline: bound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := reshardingRegistry()
				if c.before != nil {
					c.before(registry)
				}
				deadline := time.Time{}
				if c.deadline > 0 {
					deadline = time.Now().Add(c.deadline)
				}
				if !registry.SetTable(c.table, time.Now(), deadline) {
					t.Error("SetTable: got table pending, want it in force at once")
				}
				registry.wantVersion(t, 2)
			})
		})
	}
}

// A newer table replaces a pending one and must be in force by the deadline of the
// first.
func TestNewerTableReplacesPendingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := reshardingRegistry()
		registry.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		registry.SetTable(table(3, index("new", 14)), time.Now(), time.Now().Add(bound))
		if registry.SetTable(table(2, index("new", 15)), time.Now(), time.Time{}) {
			t.Error("SetTable: got older table in force, want it ignored")
		}
		registry.wantVersion(t, 1)
		time.Sleep(time.Second)
		registry.wantVersion(t, 3)
	})
	synctest.Test(t, func(t *testing.T) {
		registry := reshardingRegistry()
		registry.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		if !registry.SetTable(table(3, index("old", 9)), time.Now(), time.Now().Add(bound)) {
			t.Error("SetTable: got table pending that has no new services, want it in force")
		}
		time.Sleep(time.Minute)
		registry.wantVersion(t, 3)
	})
}
