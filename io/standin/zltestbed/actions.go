package zltestbed

import (
	"context"
	"fmt"
	"slices"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/version/zlsync"

	"github.com/rotisserie/eris"
)

// Straggle sets the share of an upstream's requests that take 20 times as long,
// from 0 to 1.
func (t *Testbed) Straggle(name zlunit.Upstream, share float64) {
	t.Upstreams[name].Update(func(u *zlfakeupstream.Settings) {
		u.StraggleShare = share
	})
}

// MarkOutOfService marks exactly the given data centres as out of service, through the same
// kind of edit that operators make.
func (t *Testbed) MarkOutOfService(ctx context.Context, out ...zlunit.DataCentre) error {
	editor := &zlsync.Editor{
		Platform: t.Client,
		Timer:    &zltimer.Service{},
	}
	_, err := editor.Edit(ctx, &zlsync.Marks, &zlsync.Edit{
		By:     "demo",
		Reason: "demo",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return t.markChanges(r, out), r.Head().Serial, nil
		},
	})
	return err
}

// markChanges returns the change of each data centre's mark that takes exactly the
// data centres of out out of service.
func (t *Testbed) markChanges(r zlhistory.Record, out []zlunit.DataCentre) []zlhistory.Change {
	changes := make([]zlhistory.Change, 0, len(t.Plan.DataCentres))
	for _, dc := range t.Plan.DataCentres {
		c := zlhistory.Change{
			Path: string(zlmark.SubjectDataCentre),
			Key:  string(dc),
		}
		c.Old = r.Value(c.Place())
		if slices.Contains(out, dc) {
			c.New = "demo"
		}
		changes = append(changes, c)
	}
	return changes
}

// objectVersion returns the version of a platform object, 0 if there is none.
func (t *Testbed) objectVersion(ctx context.Context, kind zlplatform.ObjectKind, name string) (zlunit.ObjectVersion, error) {
	o, err := t.Client.Get(ctx, kind, name)
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Received returns the number of requests that the upstreams of a data centre
// received so far.
func (t *Testbed) Received(dc zlunit.DataCentre) int64 {
	var n int64
	for _, c := range t.Catalogs {
		for _, u := range c.Upstreams {
			if u.DataCentre == dc {
				n += t.Upstreams[u.Name].Counts().Received
			}
		}
	}
	return n
}

// Kill ends daemon n at once, as a crash does; n counts from 0 in order of start.
func (t *Testbed) Kill(n int) {
	t.daemons[n].Kill()
	t.ended[n] = true
}

// Repartition adds an index version with the given number of shards to a service,
// on the same upstreams. The old version stays until Retire.
func (t *Testbed) Repartition(ctx context.Context, service zlunit.Service, shards int) error {
	next := *t.Catalogs[service]
	last := next.Versions[0]
	version := zlcatalog.Version{
		Number: last.Number + 1,
		Shards: make([][]zlunit.Upstream, shards),
	}
	held := map[zlunit.Upstream][]zlunit.Shard{}
	for shard := range shards {
		replicas := last.Shards[shard%len(last.Shards)]
		version.Shards[shard] = replicas
		for _, name := range replicas {
			held[name] = append(held[name], zlunit.Shard(shard))
		}
	}
	for name, list := range held {
		t.Upstreams[name].Repartition(version.Number, list, false)
	}
	next.Versions = append([]zlcatalog.Version{version}, next.Versions...)
	return t.putCatalog(ctx, &next)
}

// Retire removes all but the newest version of a service from its catalogue and
// its upstreams. It does not wait for queries on the older versions.
func (t *Testbed) Retire(ctx context.Context, service zlunit.Service) error {
	next := *t.Catalogs[service]
	newest := next.Versions[0]
	held := map[zlunit.Upstream][]zlunit.Shard{}
	for shard, replicas := range newest.Shards {
		for _, name := range replicas {
			held[name] = append(held[name], zlunit.Shard(shard))
		}
	}
	next.Versions = next.Versions[:1]
	if err := t.putCatalog(ctx, &next); err != nil {
		return err
	}
	for name, list := range held {
		t.Upstreams[name].Repartition(newest.Number, list, true)
	}
	return nil
}

// SetLeaving sets or clears the leaving flag of an upstream in the catalogue and then
// makes the upstream refuse requests, or restart.
func (t *Testbed) SetLeaving(ctx context.Context, name zlunit.Upstream, leaving bool) error {
	for _, c := range t.Catalogs {
		i := slices.IndexFunc(c.Upstreams, func(u zlcatalog.Upstream) bool { return u.Name == name })
		if i < 0 {
			continue
		}
		next := *c
		next.Upstreams = slices.Clone(c.Upstreams)
		next.Upstreams[i].Leaving = leaving
		if err := t.putCatalog(ctx, &next); err != nil {
			return err
		}
	}
	if leaving {
		t.Upstreams[name].Leave()
	} else {
		t.Upstreams[name].Return()
	}
	return nil
}

// putCatalog stores a catalogue in the platform and keeps it in Catalogs.
func (t *Testbed) putCatalog(ctx context.Context, c *zlcatalog.Catalog) error {
	version, err := t.objectVersion(ctx, zlplatform.ObjectCatalog, string(c.Service))
	if err != nil {
		return err
	}
	if _, err := t.Client.Put(ctx, zlplatform.ObjectCatalog, string(c.Service), version, c); err != nil {
		return eris.Wrap(err, fmt.Sprintf("store the catalogue of %s", c.Service))
	}
	t.Catalogs[c.Service] = c
	return nil
}

// Stop stops daemon n gracefully; the error says which queries were cut.
func (t *Testbed) Stop(n int) error {
	t.ended[n] = true
	return t.daemons[n].Stop()
}
