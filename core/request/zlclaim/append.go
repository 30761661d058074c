package zlclaim

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
)

// write appends records to the log by one conditional update of the head. If
// the head is full, its records are moved to an archive first.
func (w *writer) write(ctx context.Context, records []record) error {
	next, raised := w.segment.head.withoutExpired(w.timer.Now())
	if w.needsArchive() {
		ref, err := w.writeArchive(ctx)
		if err != nil {
			return err
		}
		next.Archives = append(next.Archives, ref)
		next.Records = nil
	}
	next.Records = append(next.Records[:len(next.Records):len(next.Records)], records...)
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
	w.segment.apply(records)
	if raised {
		w.segment.dropUpTo(next.Floor)
	}
	w.removeArchives(ctx, next.Floor)
	return nil
}

// needsArchive reports whether the records of the head must be moved to an
// archive. Each write of the head includes the names of its archives, so the
// more archives there are, the larger the next one becomes.
func (w *writer) needsArchive() bool {
	refsBytes := archiveRefBytes * len(w.segment.head.Archives)
	return w.segment.headSize-refsBytes >= max(minArchiveBytes, refsBytes)
}

func (w *writer) put(ctx context.Context, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return w.store.Put(ctx, w.segment.number, name, ifVersion, value)
}

// writeArchive writes the records of the head to a new archive. The archive is
// part of the log once a head names it. One that no head names is deleted once
// its ids are no longer above the floor.
func (w *writer) writeArchive(ctx context.Context) (archiveRef, error) {
	records, newest := compact(w.segment.head.Records)
	ref := archiveRef{
		Name:   archiveName(newest),
		Newest: newest,
	}
	value, err := json.Marshal(archive{
		Records: records,
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

// removeArchives deletes the archives without an id above the floor, also those
// that no head has ever named. At most maxRemovals are deleted; what remains or
// fails is tried again at the next write.
func (w *writer) removeArchives(ctx context.Context, floor millis) {
	remaining := maxRemovals
	for name, version := range w.segment.archives {
		newest, ok := newestOf(name)
		if !ok || newest > floor {
			continue
		}
		if remaining == 0 {
			return
		}
		remaining--
		if err := w.store.Delete(ctx, w.segment.number, name, version); err == nil {
			delete(w.segment.archives, name)
		}
	}
}
