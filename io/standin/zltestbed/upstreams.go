package zltestbed

import (
	"context"
	"fmt"
	"maps"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeupstream"
	"zinnialock/io/version/zlsync"

	"github.com/rotisserie/eris"
)

// runUpstreams starts the upstreams of all services and stores the catalogues and
// the settings tree in the platform.
func (t *Testbed) runUpstreams(ctx context.Context) error {
	t.Upstreams = map[zlunit.Upstream]*zlfakeupstream.Upstream{}
	t.Catalogs = map[zlunit.Service]*zlcatalog.Catalog{}
	for _, plan := range t.Plan.Services {
		c, err := t.runService(plan)
		if err != nil {
			return err
		}
		t.Catalogs[plan.Name] = c
		if _, err := t.Client.Put(ctx, zlplatform.ObjectCatalog, string(plan.Name), 0, c); err != nil {
			return err
		}
	}
	_, err := t.Client.Put(ctx, zlplatform.ObjectSettings, zlsync.TreeName, 0, t.initialTree())
	return err
}

// initialTree returns the deployment's first settings tree.
func (t *Testbed) initialTree() *zlsettings.Tree {
	node := zlsettings.Node{
		zlsettings.KeyDeadline: "2s",
	}
	maps.Copy(node, t.Settings)
	return &zlsettings.Tree{
		Nodes: map[zlsettings.Path]zlsettings.Node{
			zlsettings.Path(t.Plan.Deployment): node,
		},
	}
}

// runService starts the upstreams of one service and returns its catalogue. The
// replicas of a shard are spread over the data centres in turn.
func (t *Testbed) runService(plan ServicePlan) (*zlcatalog.Catalog, error) {
	c := &zlcatalog.Catalog{
		Service: plan.Name,
		Versions: []zlcatalog.Version{
			{
				Number: FirstVersion,
				Shards: make([][]zlunit.Upstream, plan.Shards),
			},
		},
	}
	for shard := range plan.Shards {
		for replica := range plan.Replicas {
			name := zlunit.Upstream(fmt.Sprintf("%s-%d-%d", plan.Name, shard, replica))
			u := t.newUpstream(plan, name, zlunit.Shard(shard))
			if err := u.Run(); err != nil {
				return nil, eris.Wrapf(err, "start upstream %s", name)
			}
			t.Upstreams[name] = u
			address := u.Address
			if t.UpstreamAddress != nil {
				var err error
				if address, err = t.UpstreamAddress(name, address); err != nil {
					return nil, err
				}
			}
			c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
				Name:        name,
				DataCentre:  t.Plan.DataCentres[replica%len(t.Plan.DataCentres)],
				Address:     address,
				Slots:       plan.Slots,
				Connections: plan.Connections,
				ColdLimit:   plan.ColdLimit,
			})
			shards := c.Versions[0].Shards
			shards[shard] = append(shards[shard], name)
		}
	}
	return c, nil
}

const (
	// stragglerSlowdown multiplies the service time of a straggling request.
	stragglerSlowdown = 20
	// upstreamQueueLimit is the number of requests that an upstream queues.
	upstreamQueueLimit = 64
)

func (t *Testbed) newUpstream(plan ServicePlan, name zlunit.Upstream, shard zlunit.Shard) *zlfakeupstream.Upstream {
	return &zlfakeupstream.Upstream{
		Address: "127.0.0.1:0",
		Seed:    t.Seed + uint64(len(t.Upstreams)),
		Settings: zlfakeupstream.Settings{
			Name:              name,
			Service:           plan.Name,
			Slots:             plan.Slots,
			Connections:       plan.Connections,
			ColdLimit:         plan.ColdLimit,
			ColdWork:          plan.ColdWork,
			ConnectMs:         plan.ConnectMs,
			ServiceMs:         plan.ServiceMs,
			StraggleShare:     t.StraggleShare,
			StragglerSlowdown: stragglerSlowdown,
			QueueLimit:        upstreamQueueLimit,
			Shards: map[zlunit.IndexVersion][]zlunit.Shard{
				FirstVersion: {shard},
			},
		},
	}
}
