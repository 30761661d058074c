package zlcapacity

import (
	"context"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"zinnialock/io/process/zldaemon"
)

// Takeover ends one daemon, whose process the caller started, and measures
// until the others hold all upstreams, and what that costs each of them.
func (m *Meter) Takeover(ctx context.Context, pid int) (map[Quantity]float64, error) {
	last := len(m.Stage.Places) - 1
	left := m.Stage.Places[:last]
	before, err := m.costs(ctx, left, false)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		return nil, eris.Wrap(err, "end a daemon")
	}
	err = m.until(ctx, left, changeWait, changePause, func(c zldaemon.Cost) bool {
		return c.Daemons == last
	})
	if err != nil {
		return nil, err
	}
	if err := m.heldByAll(ctx, left); err != nil {
		return nil, err
	}
	took := time.Since(start).Seconds()
	after, err := m.costs(ctx, left, false)
	if err != nil {
		return nil, err
	}
	n := float64(len(left))
	values := map[Quantity]float64{
		QuantityTakeover: took,
	}
	for i := range before {
		d := difference(before[i], after[i])
		values[QuantityChangeCPU] += d.cpu / n
		values[QuantityChangeBytes] += d.bytes / n
	}
	return values, nil
}

// heldByAll waits until the daemons together may send to every upstream that
// has a daemon in its data centre.
func (m *Meter) heldByAll(ctx context.Context, places []DaemonPlace) error {
	end := time.Now().Add(changeWait)
	for time.Now().Before(end) {
		costs, err := m.costs(ctx, places, false)
		if err != nil {
			return err
		}
		held := 0
		for _, c := range costs {
			held += c.Held
		}
		if held == m.Stage.Upstreams {
			return nil
		}
		time.Sleep(changePause)
	}
	return &Error{
		Op:   "takeover",
		Kind: KindMeasure,
		Err:  eris.New("not all upstreams found a holder"),
	}
}
