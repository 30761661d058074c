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

// index is a route over n shards whose services begin with name.
func index(name string, n int) zltable.Route {
	r := zltable.Route{
		Name:       "lot",
		Host:       "h",
		Prefix:     "/lot/",
		LeastShare: 0.8,
	}
	for i := range n {
		r.Shards = append(r.Shards, shard(name, i))
	}
	return r
}

func shard(name string, i int) zlunit.Service {
	return zlunit.Service(fmt.Sprintf("%s%d", name, i))
}

// index10to15 is a book whose route goes over ten shards, and that knows cold
// replicas of fifteen others.
func index10to15() *Book {
	b := &Book{
		Timer: &zltimer.Service{},
	}
	b.SetTable(table(1, index("old", 10)), time.Now(), time.Time{})
	var all []Change
	for i := range 10 {
		all = append(all, start(shard("old", i), 0))
	}
	for i := range 15 {
		all = append(all, start(shard("new", i), coldTime))
	}
	b.Apply(all, time.Now())
	return b
}

func table(v zltable.Version, routes ...zltable.Route) *zltable.Table {
	return zltable.New(v, routes, nil, zltable.Limits{})
}

func start(s zlunit.Service, cold time.Duration) Change {
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

func (b *Book) inForce(t *testing.T, want zltable.Version) {
	t.Helper()
	if got := b.Current().Table.Version; got != want {
		t.Errorf("version %d in force, want %d", got, want)
	}
}

// The index is cut into another set of shards, whose replicas are cold for as long as
// the table names them too early.
func TestTableWaitsForItsReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := index10to15()
		time.Sleep(coldTime - 800*time.Millisecond)
		if b.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(bound)) {
			t.Error("in force while its replicas are cold")
		}
		time.Sleep(790 * time.Millisecond)
		b.inForce(t, 1)
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		b.inForce(t, 2)
	})
}

// It does not wait past its bound, also where this process was paused past that.
func TestTableIsInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := index10to15()
		b.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		time.Sleep(time.Second - time.Millisecond)
		b.inForce(t, 1)
		time.Sleep(time.Millisecond)
		b.inForce(t, 2)
		b.SetTable(table(3, index("third", 2)), time.Now(), time.Now().Add(time.Second))
		b.mu.Lock()
		b.coming.by = time.Now()
		b.comingBy.Store(&b.coming.by)
		b.mu.Unlock()
		b.inForce(t, 3)
		time.Sleep(time.Minute)
	})
}

// Nothing waits where waiting serves nobody better.
func TestTablesThatDoNotWait(t *testing.T) {
	other := zltable.Route{
		Name:    "desk",
		Host:    "h",
		Prefix:  "/desk/",
		Targets: []zltable.Target{{Service: "desk"}},
	}
	for name, c := range map[string]struct {
		before func(b *Book)
		table  *zltable.Table
		by     time.Duration
	}{
		"the bound is not known": {
			table: table(2, index("new", 15)),
		},
		"the old replicas are gone": {
			before: func(b *Book) {
				for i := range 3 {
					b.Apply([]Change{{ID: zlunit.Upstream(shard("old", i) + "-1")}}, time.Now())
				}
			},
			table: table(2, index("new", 15)),
			by:    bound,
		},
		"the new replicas are warm": {
			before: func(*Book) { time.Sleep(coldTime) },
			table:  table(2, index("new", 15)),
			by:     bound,
		},
		"a route is added": {
			table: table(2, index("old", 10), other),
			by:    bound,
		},
		"a route is dropped": {
			table: table(2),
			by:    bound,
		},
		"fewer of the same shards": {
			table: table(2, index("old", 8)),
			by:    bound,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := index10to15()
				if c.before != nil {
					c.before(b)
				}
				by := time.Time{}
				if c.by > 0 {
					by = time.Now().Add(c.by)
				}
				if !b.SetTable(c.table, time.Now(), by) {
					t.Error("waits")
				}
				b.inForce(t, 2)
			})
		})
	}
}

// While one waits a newer one comes: the newest counts, by the time of the first.
func TestNewerTableWhileOneWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := index10to15()
		b.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		b.SetTable(table(3, index("new", 14)), time.Now(), time.Now().Add(bound))
		if b.SetTable(table(2, index("new", 15)), time.Now(), time.Time{}) {
			t.Error("an older one is taken")
		}
		b.inForce(t, 1)
		time.Sleep(time.Second)
		b.inForce(t, 3)
	})
	synctest.Test(t, func(t *testing.T) {
		b := index10to15()
		b.SetTable(table(2, index("new", 15)), time.Now(), time.Now().Add(time.Second))
		if !b.SetTable(table(3, index("old", 9)), time.Now(), time.Now().Add(bound)) {
			t.Error("one that needs no wait waits")
		}
		time.Sleep(time.Minute)
		b.inForce(t, 3)
	})
}
