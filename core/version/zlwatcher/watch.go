package zlwatcher

import (
	"context"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// list reads a whole topic and replaces what is held of it. A pause other than 0
// means that the table is not written yet and the list is to be repeated after it.
func (f *Watcher) list(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
	at := f.Timer.Now()
	d := &Delta{
		Full: true,
	}
	after := ""
	for {
		page, err := f.Store.List(ctx, t, after)
		if err != nil {
			return 0, err
		}
		d.Items = append(d.Items, page.Items...)
		if after == "" {
			// The watch starts at the first page's revision, so that it also
			// returns the changes made while the later pages were read.
			d.To = page.Revision
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	if t == TopicTable && len(d.Items) == 0 {
		return emptyTableDelay, nil
	}
	state.mu.Lock()
	state.listed = true
	state.mu.Unlock()
	f.noteAnswer(at)
	f.applyDelta(t, d, at, true)
	return 0, nil
}

// watch waits for changes of a topic and applies them. The pause is the time to the
// next watch.
func (f *Watcher) watch(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
	from, short := state.startWatch(f.Timer.Now())
	wait := watchTimeout
	if short {
		wait = t.watchInterval()
	}
	page, err := f.Store.Watch(ctx, t, from, wait)
	if err != nil {
		return 0, err
	}
	at := f.Timer.Now()
	if len(page.Items) == 0 {
		f.confirm(t, at)
		return 0, nil
	}
	f.applyDelta(t, &Delta{
		From:  from,
		To:    page.Revision,
		Items: page.Items,
	}, at, true)
	return t.watchInterval(), nil
}

// confirm notes that what the book holds of a topic was current at the given time.
func (f *Watcher) confirm(t Topic, at time.Time) {
	switch t {
	case TopicTable:
		f.Registry.Confirm(time.Time{}, at, time.Time{})
	case TopicReplicas:
		f.Registry.Confirm(at, time.Time{}, time.Time{})
	case TopicOutOfService:
		f.Registry.Confirm(time.Time{}, time.Time{}, at)
	}
}

// replace puts the items in the place of all that the book holds of the topic.
func (f *Watcher) replace(t Topic, items []Item, at, deadline time.Time) {
	switch t {
	case TopicTable:
		f.setTables(items, at, deadline)
	case TopicReplicas:
		var all []zlregistry.Replica
		for _, i := range items {
			if r, ok := i.(*ReplicaItem); ok && r.Replica != nil {
				all = append(all, *r.Replica)
			}
		}
		f.Registry.Replace(all, at)
	case TopicOutOfService:
		f.setOut(map[zlunit.DataCentre]bool{}, items, at)
	}
}

// apply applies changed items to the book.
func (f *Watcher) apply(t Topic, items []Item, at, deadline time.Time) {
	switch t {
	case TopicTable:
		f.setTables(items, at, deadline)
	case TopicReplicas:
		changes := make([]zlregistry.Change, 0, len(items))
		for _, i := range items {
			if r, ok := i.(*ReplicaItem); ok {
				changes = append(changes, zlregistry.Change{
					ID:      r.ID,
					Replica: r.Replica,
				})
			}
		}
		f.Registry.Apply(changes, at)
	case TopicOutOfService:
		out := map[zlunit.DataCentre]bool{}
		for dc := range f.Registry.View().OutOfService {
			out[dc] = true
		}
		f.setOut(out, items, at)
	}
}

// tableDeadline returns the time at which a table that arrives now must be in force, or
// zero if that is not known. The table is newer than the last confirmation of what
// this VM holds, and may have been written during the pause between two watches.
func (f *Watcher) tableDeadline() time.Time {
	at := f.ConfirmedAt()
	if f.PollPolicy != nil {
		if s := f.PollPolicy.PeersConfirmedAt(); s.After(at) {
			at = s
		}
	}
	if at.IsZero() || f.UpdateBound <= 0 {
		return time.Time{}
	}
	return at.Add(f.UpdateBound - tableWatchInterval - applyMargin)
}

func (f *Watcher) setTables(items []Item, at, deadline time.Time) {
	for _, i := range items {
		if table, ok := i.(*TableItem); ok && table.Table != nil {
			f.Registry.SetTable(table.Table, at, deadline)
		}
	}
}

func (f *Watcher) setOut(out map[zlunit.DataCentre]bool, items []Item, at time.Time) {
	for _, i := range items {
		item, ok := i.(*OutOfServiceItem)
		switch {
		case !ok:
		case item.Removed:
			delete(out, item.DataCentre)
		default:
			out[item.DataCentre] = true
		}
	}
	f.Registry.SetOutOfService(out, at)
}
