package zlcapacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zldaemon"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/version/zlsync"
)

// InForce measures the time from an accepted edit to the last daemon.
func (m *Meter) InForce(ctx context.Context) (median, last float64, err error) {
	client := newClient(m.Stage.Platform)
	times := make([]float64, 0, edits)
	for i := range edits {
		took, err := m.oneEdit(ctx, client, i)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1], nil
}

// Edits measures what one edit of the settings tree costs a daemon, and the
// live heap.
func (m *Meter) Edits(ctx context.Context) (map[Quantity]float64, error) {
	values, err := m.Idle(ctx)
	if err != nil {
		return nil, err
	}
	client := newClient(m.Stage.Platform)
	before, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for i := range edits {
		if _, err := m.edit(ctx, client, i); err != nil {
			return nil, err
		}
		time.Sleep(editPause)
	}
	time.Sleep(settleTime)
	after, err := m.costs(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	n := float64(len(before))
	for i := range before {
		d := difference(before[i], after[i])
		values[QuantityChangeCPU] += (d.cpu - values[QuantityCPU]*elapsed) / n / edits
		values[QuantityChangeBytes] += (d.bytes - values[QuantityBytes]*elapsed) / n / edits
	}
	return values, nil
}

// oneEdit returns how long an edit took to reach the last daemon, in seconds.
func (m *Meter) oneEdit(ctx context.Context, client *zlplatform.Client, i int) (float64, error) {
	nodes, err := m.edit(ctx, client, i)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = m.until(ctx, m.Stage.Places, changeWait, pollPause, func(c zldaemon.Cost) bool {
		return c.Nodes == nodes
	})
	return time.Since(start).Seconds(), err
}

// edit adds a node to the settings tree and returns how many it has then.
func (m *Meter) edit(ctx context.Context, client *zlplatform.Client, i int) (int, error) {
	o, err := client.Get(ctx, zlplatform.ObjectSettings, zlsync.TreeName)
	if err != nil {
		return 0, err
	}
	tree, err := zlsettings.Decode(o.Value)
	if err != nil {
		return 0, err
	}
	path := fmt.Sprintf("%s/%s/edit-%d", Deployment, zlsettings.AnyDataCentre, i)
	tree.Nodes[zlsettings.Path(path)] = zlsettings.Node{
		zlsettings.KeyDeadline: "9s",
	}
	_, err = client.Put(ctx, zlplatform.ObjectSettings, zlsync.TreeName, o.Version, tree)
	return len(tree.Nodes), err
}
