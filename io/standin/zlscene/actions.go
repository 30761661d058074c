package zlscene

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

// Straggle makes one upstream take straggleTimes as long for a share of its
// requests.
func (s *Scene) Straggle(name zlunit.Upstream, share float64) {
	s.Upstreams[name].Update(func(u *zlfakeupstream.Settings) {
		u.StraggleShare = share
	})
}

// Mark takes data centres out of service, and all others into it, by an edit
// as operators make it.
func (s *Scene) Mark(ctx context.Context, out ...zlunit.DataCentre) error {
	editor := &zlsync.Editor{
		Platform: s.Client,
		Timer:    &zltimer.Service{},
	}
	_, err := editor.Edit(ctx, &zlsync.Marks, &zlsync.Edit{
		By:     "demo",
		Reason: "demo",
		Prepare: func(r zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
			return s.marks(r, out), r.Head().Serial, nil
		},
	})
	return err
}

// marks lists the change of every data centre's mark.
func (s *Scene) marks(r zlhistory.Record, out []zlunit.DataCentre) []zlhistory.Change {
	changes := make([]zlhistory.Change, 0, len(s.Plan.DataCentres))
	for _, dc := range s.Plan.DataCentres {
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

func (s *Scene) versionOf(ctx context.Context, kind zlplatform.ObjectKind, name string) (zlunit.ObjectVersion, error) {
	o, err := s.Client.Get(ctx, kind, name)
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Received sums what the upstreams of a data centre received so far.
func (s *Scene) Received(dc zlunit.DataCentre) int64 {
	var n int64
	for _, c := range s.Catalogs {
		for _, u := range c.Upstreams {
			if u.DataCentre == dc {
				n += s.Upstreams[u.Name].Counts().Received
			}
		}
	}
	return n
}

// Kill ends the entry VM's daemon at once, as a crash would.
func (s *Scene) Kill(n int) {
	s.entries[n].Kill()
	s.killed[n] = true
}

// Repartition gives a service a further index version with more shards, on the
// same upstreams. The old version stays until Retire.
func (s *Scene) Repartition(ctx context.Context, service zlunit.Service, shards int) error {
	next := *s.Catalogs[service]
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
		s.Upstreams[name].Repartition(version.Number, list, false)
	}
	next.Versions = append([]zlcatalog.Version{version}, next.Versions...)
	return s.putCatalog(ctx, &next)
}

// Retire removes all but the newest version of a service, from the upstreams
// too, whatever still runs at the older ones.
func (s *Scene) Retire(ctx context.Context, service zlunit.Service) error {
	next := *s.Catalogs[service]
	newest := next.Versions[0]
	held := map[zlunit.Upstream][]zlunit.Shard{}
	for shard, replicas := range newest.Shards {
		for _, name := range replicas {
			held[name] = append(held[name], zlunit.Shard(shard))
		}
	}
	next.Versions = next.Versions[:1]
	if err := s.putCatalog(ctx, &next); err != nil {
		return err
	}
	for name, list := range held {
		s.Upstreams[name].Repartition(newest.Number, list, true)
	}
	return nil
}

// Leave tells the platform that an upstream leaves, or that it is back, and then
// makes it so.
func (s *Scene) Leave(ctx context.Context, name zlunit.Upstream, leaving bool) error {
	for _, c := range s.Catalogs {
		i := slices.IndexFunc(c.Upstreams, func(u zlcatalog.Upstream) bool { return u.Name == name })
		if i < 0 {
			continue
		}
		next := *c
		next.Upstreams = slices.Clone(c.Upstreams)
		next.Upstreams[i].Leaving = leaving
		if err := s.putCatalog(ctx, &next); err != nil {
			return err
		}
	}
	if leaving {
		s.Upstreams[name].Leave()
	} else {
		s.Upstreams[name].Return()
	}
	return nil
}

func (s *Scene) putCatalog(ctx context.Context, c *zlcatalog.Catalog) error {
	version, err := s.versionOf(ctx, zlplatform.ObjectCatalog, string(c.Service))
	if err != nil {
		return err
	}
	if _, err := s.Client.Put(ctx, zlplatform.ObjectCatalog, string(c.Service), version, c); err != nil {
		return eris.Wrap(err, fmt.Sprintf("catalogue of %s", c.Service))
	}
	s.Catalogs[c.Service] = c
	return nil
}

// Stop stops the entry VM's daemon as planned; the error says what was cut.
func (s *Scene) Stop(n int) error {
	s.killed[n] = true
	return s.entries[n].Stop()
}
