package zlclaim

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
)

// write appends ops to the log by one conditional update of the head. A full
// head moves its records to an archive first.
func (w *writer) write(ctx context.Context, ops []op) error {
	next, raised := w.segment.head.expired(w.timer.Now())
	if w.full() {
		ref, err := w.archive(ctx)
		if err != nil {
			return err
		}
		next.Archives = append(next.Archives, ref)
		next.Ops = nil
	}
	next.Ops = append(next.Ops[:len(next.Ops):len(next.Ops)], ops...)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := w.put(ctx, headName, w.segment.version, value)
	if err != nil {
		return err
	}
	w.segment.version = version
	w.segment.head = next
	w.segment.headSize = len(value)
	w.segment.apply(ops)
	if raised {
		w.segment.forget(next.Floor)
	}
	w.remove(ctx, next.Floor)
	return nil
}

// full reports whether the head's records have to move to an archive. The
// names of archives weigh in each write as the records do, so the more there
// are the larger the next one gets.
func (w *writer) full() bool {
	names := refSize * len(w.segment.head.Archives)
	return w.segment.headSize-names >= max(archiveSize, names)
}

func (w *writer) put(ctx context.Context, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	return w.store.Put(ctx, w.segment.number, name, ifVersion, value)
}

// archive writes the head's records to a new object. It counts only once a
// head names it; one that no head names is removed when the floor passes it.
func (w *writer) archive(ctx context.Context) (archiveRef, error) {
	ops, newest := compact(w.segment.head.Ops)
	ref := archiveRef{
		Name:   archiveName(newest),
		Newest: newest,
	}
	value, err := json.Marshal(archive{
		Ops: ops,
	})
	if err != nil {
		return ref, err
	}
	version, err := w.put(ctx, ref.Name, 0, value)
	if err != nil {
		return ref, err
	}
	w.segment.archives[ref.Name] = version
	return ref, nil
}

// remove deletes the archives that no head needs any more: those with no id
// above the floor. One that a writer left without a head that names it goes the
// same way. What fails, or is more than a few, is left for the next time.
func (w *writer) remove(ctx context.Context, floor millis) {
	left := maxRemovals
	for name, version := range w.segment.archives {
		newest, ok := newestOf(name)
		if !ok || newest > floor {
			continue
		}
		if left == 0 {
			return
		}
		left--
		if err := w.store.Delete(ctx, w.segment.number, name, version); err == nil {
			delete(w.segment.archives, name)
		}
	}
}
