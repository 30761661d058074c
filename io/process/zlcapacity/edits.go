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

// InForce makes several edits of the settings tree and measures, in seconds,
// the time from the acceptance of each until the last daemon has it in force.
// It returns the median and the largest of these times.
func (m *Meter) InForce(ctx context.Context) (median, last float64, err error) {
	client := newClient(m.Stage.Platform)
	times := make([]float64, 0, editCount)
	for i := range editCount {
		seconds, err := m.timeEdit(ctx, client, i)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, seconds)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1], nil
}

// Edits measures the values of Idle and, beyond these, the mean processor time
// and control traffic that one edit of the settings tree costs a daemon.
func (m *Meter) Edits(ctx context.Context) (map[Quantity]float64, error) {
	values, err := m.Idle(ctx)
	if err != nil {
		return nil, err
	}
	client := newClient(m.Stage.Platform)
	before, err := m.readCosts(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for i := range editCount {
		if _, err := m.edit(ctx, client, i); err != nil {
			return nil, err
		}
		time.Sleep(editInterval)
	}
	time.Sleep(settleTime)
	after, err := m.readCosts(ctx, m.Stage.Places, false)
	if err != nil {
		return nil, err
	}
	elapsedSeconds := time.Since(start).Seconds()
	n := float64(len(before))
	for i := range before {
		d := costsBetween(before[i], after[i])
		values[QuantityChangeCPU] += (d.cpu - values[QuantityCPU]*elapsedSeconds) / n / editCount
		values[QuantityChangeBytes] += (d.bytes - values[QuantityBytes]*elapsedSeconds) / n / editCount
	}
	return values, nil
}

// timeEdit makes an edit and returns how long it takes to reach the last
// daemon, in seconds.
func (m *Meter) timeEdit(ctx context.Context, client *zlplatform.Client, i int) (float64, error) {
	nodes, err := m.edit(ctx, client, i)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = m.waitUntil(ctx, m.Stage.Places, changeTimeout, inForcePollInterval, func(c zldaemon.Cost) bool {
		return c.Nodes == nodes
	})
	return time.Since(start).Seconds(), err
}

// edit adds a node to the settings tree and returns the new number of nodes.
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
