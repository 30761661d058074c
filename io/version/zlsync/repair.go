package zlsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlobject"
	"zinnialock/io/process/zlplatform"

	"github.com/google/uuid"
)

// maxRepairDelay is the longest pause before a repair. All daemons may find the
// same fault; with random pauses one of them writes and the others find it done.
const maxRepairDelay = 5 * time.Second

// recheck reads all records from the platform, applies what is newer and starts
// repairs of those that lack accepted changes.
func (w *Watcher) recheck(ctx context.Context) error {
	for _, t := range []*Target{&Settings, &Marks} {
		o, err := w.Platform.Get(ctx, t.Kind, t.Name)
		if zlplatform.Is(err, zlplatform.KindNotFound) {
			if _, held := w.store.Get(t.key()); held {
				w.startRepair(ctx, t)
			}
			continue
		}
		if err != nil {
			return err
		}
		result := w.ApplyItems([]zlobject.Item{itemOf(*o)})
		w.checkPlatform(ctx, &result)
	}
	return nil
}

func (t *Target) key() zlobject.Key {
	return zlobject.Key{
		Kind: string(t.Kind),
		Name: t.Name,
	}
}

// checkPlatform starts a repair of each record in which the platform lacks
// accepted changes.
func (w *Watcher) checkPlatform(ctx context.Context, result *zlobject.Result) {
	for _, r := range result.Rejected {
		if errors.Is(r.Err, zlobject.ErrForked) {
			w.startRepairOf(ctx, r.Item)
		}
	}
	for _, item := range result.Older {
		held, ok := w.store.Get(item.Key)
		if ok && item.Rank.History != held.Rank.History {
			w.startRepairOf(ctx, item)
		}
	}
}

func (w *Watcher) startRepairOf(ctx context.Context, item zlobject.Item) {
	if t, ok := targetOf(zlplatform.ObjectKind(item.Key.Kind), item.Key.Name); ok {
		w.startRepair(ctx, t)
	}
}

// startRepair writes back, after a random pause, accepted changes that the
// platform lost. One repair runs at a time; the next recheck finds what is left.
func (w *Watcher) startRepair(ctx context.Context, t *Target) {
	if !w.repairing.CompareAndSwap(false, true) {
		return
	}
	w.repairs.Go(func() {
		defer w.repairing.Store(false)
		if !w.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(maxRepairDelay))) {
			return
		}
		if err := w.writeBack(ctx, t); err != nil {
			w.count("repairFailed", string(t.Kind))
			w.Log.Warn().Err(err).Str("kind", string(t.Kind)).Msg("sync: platform lacks accepted changes; writing them back failed, retrying at the next recheck")
		}
	})
}

// writeBack reads the platform's record, merges it with the held one and writes
// the result, on the condition that the record did not change in between.
func (w *Watcher) writeBack(ctx context.Context, t *Target) error {
	next, nextVersion, err := t.load(ctx, w.Platform)
	if err != nil {
		return err
	}
	item, ok := w.store.Get(t.key())
	if !ok {
		return nil
	}
	// The merge changes the record, and the decoded one in the store must not
	// change.
	held, err := t.Read(item.Value)
	if err != nil {
		return err
	}
	if nextVersion != 0 && !zlhistory.Forked(held, next) && next.Head().Serial >= held.Head().Serial {
		return nil
	}
	joined := held
	if isManualWrite(item, next, nextVersion) {
		w.commitManualWrite(held, next)
	} else {
		joined = zlhistory.Merge(held, next)
	}
	if err := t.Check(joined); err != nil {
		return err
	}
	if _, err := w.Platform.Put(ctx, t.Kind, t.Name, nextVersion, joined); err != nil {
		return err
	}
	w.count("repaired", string(t.Kind))
	w.Log.Warn().Str("kind", string(t.Kind)).Uint64("serial", uint64(joined.Head().Serial)).Msg("sync: wrote back a record that lacked accepted changes at the platform")
	return nil
}

// isManualWrite reports whether next is a later write without any history, as
// tools other than the config and mark subcommands make it. The versions of a
// restored platform start over, so its record is not later.
func isManualWrite(held zlobject.Item, next zlhistory.Record, nextVersion zlunit.ObjectVersion) bool {
	head := next.Head()
	return nextVersion > held.Rank.Version && head.Serial == 0 && len(head.History) == 0
}

// commitManualWrite adds what was written without a history to the held record,
// as a change.
func (w *Watcher) commitManualWrite(held, next zlhistory.Record) {
	zlhistory.Commit(held, zlhistory.Entry{
		Nonce:   zlhistory.Nonce(uuid.NewString()),
		By:      "platform",
		Reason:  "written without a history",
		At:      w.Timer.Now(),
		Changes: zlhistory.Diff(held, next),
	})
}
