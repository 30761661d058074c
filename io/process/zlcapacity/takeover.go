package zlcapacity

import (
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"zinnialock/io/process/zldaemon"
)

// Takeover kills the last daemon of the stage, whose process has the given PID,
// and measures the time until the others lease all upstreams, and the mean cost
// of that for each of them.
func (m *Meter) Takeover(ctx context.Context, pid int) (map[Quantity]float64, error) {
	last := len(m.Stage.Places) - 1
	remaining := m.Stage.Places[:last]
	before, err := m.readCosts(ctx, remaining, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return nil, eris.Wrap(err, "kill daemon")
	}
	err = m.waitUntil(ctx, remaining, changeTimeout, pollInterval, func(c zldaemon.Cost) bool {
		return c.Daemons == last
	})
	if err != nil {
		return nil, err
	}
	if err := m.waitForLeases(ctx, remaining); err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, err := m.readCosts(ctx, remaining, false)
	if err != nil {
		return nil, err
	}
	n := float64(len(remaining))
	values := map[Quantity]float64{
		QuantityTakeover: seconds,
	}
	for i := range before {
		d := costsBetween(before[i], after[i])
		values[QuantityChangeCPU] += d.cpu / n
		values[QuantityChangeBytes] += d.bytes / n
	}
	return values, nil
}

// waitForLeases waits until every upstream is leased by one of the given
// daemons.
func (m *Meter) waitForLeases(ctx context.Context, places []DaemonPlace) error {
	end := time.Now().Add(changeTimeout)
	for time.Now().Before(end) {
		costs, err := m.readCosts(ctx, places, false)
		if err != nil {
			return err
		}
		held := 0
		for _, c := range costs {
			held += c.Leased
		}
		if held == m.Stage.Upstreams {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &Error{
		Op:   "takeover",
		Kind: KindMeasure,
		Err:  eris.New("not all upstreams are leased"),
	}
}
