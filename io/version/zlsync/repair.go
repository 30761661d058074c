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

// repairSpread is the longest pause before a repair; of a whole fleet that sees
// the same, the first writes and the others find it done.
const repairSpread = 5 * time.Second

// recheck reads the records and compares them with what is held.
func (f *Follower) recheck(ctx context.Context) error {
	for _, t := range []*Target{&Settings, &Marks} {
		o, err := f.Platform.Get(ctx, t.Kind, t.Name)
		if zlplatform.Is(err, zlplatform.KindNotFound) {
			if _, held := f.store.Get(t.key()); held {
				f.repair(ctx, t)
			}
			continue
		}
		if err != nil {
			return err
		}
		result := f.Take([]zlobject.Item{itemOf(*o)})
		f.checkPlatform(ctx, &result)
	}
	return nil
}

func (t *Target) key() zlobject.Key {
	return zlobject.Key{
		Kind: string(t.Kind),
		Name: t.Name,
	}
}

// checkPlatform starts repairs where the platform lacks accepted changes.
func (f *Follower) checkPlatform(ctx context.Context, result *zlobject.Result) {
	for _, r := range result.Rejected {
		if errors.Is(r.Err, zlobject.ErrForked) {
			f.repairItem(ctx, r.Item)
		}
	}
	for _, item := range result.Older {
		held, ok := f.store.Get(item.Key)
		if ok && item.Rank.History != held.Rank.History {
			f.repairItem(ctx, item)
		}
	}
}

func (f *Follower) repairItem(ctx context.Context, item zlobject.Item) {
	if t, ok := targetOf(zlplatform.ObjectKind(item.Key.Kind), item.Key.Name); ok {
		f.repair(ctx, t)
	}
}

// repair puts accepted changes that the platform lost back, after a random
// pause. One repair runs at a time; what it misses the next recheck finds.
func (f *Follower) repair(ctx context.Context, t *Target) {
	if !f.repairing.CompareAndSwap(false, true) {
		return
	}
	f.repairs.Go(func() {
		defer f.repairing.Store(false)
		if !f.Timer.Sleep(ctx.Done(), time.Duration(rand.Float64()*float64(repairSpread))) {
			return
		}
		if err := f.mend(ctx, t); err != nil {
			f.count("repairFailed", string(t.Kind))
			f.Log.Warn().Err(err).Str("kind", string(t.Kind)).Msg("sync: the platform lacks accepted changes, writing them back failed")
		}
	})
}

// mend reads the platform's record, joins it with the held one and writes the
// result on the condition that nothing changed in between.
func (f *Follower) mend(ctx context.Context, t *Target) error {
	next, version, err := t.load(ctx, f.Platform)
	if err != nil {
		return err
	}
	item, ok := f.store.Get(t.key())
	if !ok {
		return nil
	}
	// Read anew, since what is decoded in the store must not change.
	held, err := t.Read(item.Value)
	if err != nil {
		return err
	}
	if version != 0 && !zlhistory.Forked(held, next) && next.Head().Serial >= held.Head().Serial {
		return nil
	}
	joined := held
	if writtenByHand(item, next, version) {
		f.take(held, next)
	} else {
		joined = zlhistory.Merge(held, next)
	}
	if err := t.Check(joined); err != nil {
		return err
	}
	if _, err := f.Platform.Put(ctx, t.Kind, t.Name, version, joined); err != nil {
		return err
	}
	f.count("repaired", string(t.Kind))
	f.Log.Warn().Str("kind", string(t.Kind)).Uint64("serial", uint64(joined.Head().Serial)).Msg("sync: wrote a record back whose history the platform lacked")
	return nil
}

// writtenByHand reports whether next is a later write without any history, as
// other tools than the config and mark subcommands make it. A restored
// platform's versions start over, so its record is not later.
func writtenByHand(held zlobject.Item, next zlhistory.Record, version zlunit.ObjectVersion) bool {
	head := next.Head()
	return version > held.Rank.Version && head.Serial == 0 && len(head.History) == 0
}

// take enters what was written by hand into the held record as a change.
func (f *Follower) take(held, next zlhistory.Record) {
	zlhistory.Commit(held, zlhistory.Entry{
		Nonce:   zlhistory.Nonce(uuid.NewString()),
		By:      "platform",
		Reason:  "written without a history",
		At:      f.Timer.Now(),
		Changes: zlhistory.Diff(held, next),
	})
}
