package zlfollow

import (
	"context"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// list reads a topic anew. A pause other than 0 asks to list again after it.
func (f *Follower) list(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
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
			// Changes between the pages come again with the watch.
			d.To = page.Revision
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	if t == TopicTable && len(d.Items) == 0 {
		return emptyPause, nil
	}
	state.mu.Lock()
	state.listed = true
	state.mu.Unlock()
	f.answered(at)
	f.take(t, d, at, true)
	return 0, nil
}

func (f *Follower) watch(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
	from, doubted := state.watch(f.Timer.Now())
	wait := watchWait
	if doubted {
		wait = t.rearm()
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
	f.take(t, &Delta{
		From:  from,
		To:    page.Revision,
		Items: page.Items,
	}, at, true)
	return t.rearm(), nil
}

func (f *Follower) confirm(t Topic, at time.Time) {
	switch t {
	case TopicTable:
		f.Book.Confirm(time.Time{}, at, time.Time{})
	case TopicReplicas:
		f.Book.Confirm(at, time.Time{}, time.Time{})
	case TopicOut:
		f.Book.Confirm(time.Time{}, time.Time{}, at)
	}
}

func (f *Follower) replace(t Topic, items []Item, at, by time.Time) {
	switch t {
	case TopicTable:
		f.tables(items, at, by)
	case TopicReplicas:
		var all []zlregistry.Replica
		for _, i := range items {
			if r, ok := i.(*ReplicaItem); ok && r.Replica != nil {
				all = append(all, *r.Replica)
			}
		}
		f.Book.Replace(all, at)
	case TopicOut:
		f.marks(map[zlunit.DataCentre]bool{}, items, at)
	}
}

func (f *Follower) apply(t Topic, items []Item, at, by time.Time) {
	switch t {
	case TopicTable:
		f.tables(items, at, by)
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
		f.Book.Apply(changes, at)
	case TopicOut:
		out := map[zlunit.DataCentre]bool{}
		for dc := range f.Book.View().Out {
			out[dc] = true
		}
		f.marks(out, items, at)
	}
}

// tableBy is when a table that is learnt now must be in force, or zero if that is
// not known. The store did not have it when it last confirmed what this VM holds;
// between two watches it may have had it since the first.
func (f *Follower) tableBy() time.Time {
	at := f.Confirmed()
	if f.Feed != nil {
		if s := f.Feed.Settled(); s.After(at) {
			at = s
		}
	}
	if at.IsZero() || f.Within <= 0 {
		return time.Time{}
	}
	return at.Add(f.Within - rearmTable - applyMargin)
}

func (f *Follower) tables(items []Item, at, by time.Time) {
	for _, i := range items {
		if table, ok := i.(*TableItem); ok && table.Table != nil {
			f.Book.SetTable(table.Table, at, by)
		}
	}
}

func (f *Follower) marks(out map[zlunit.DataCentre]bool, items []Item, at time.Time) {
	for _, i := range items {
		mark, ok := i.(*OutItem)
		switch {
		case !ok:
		case mark.In:
			delete(out, mark.DataCentre)
		default:
			out[mark.DataCentre] = true
		}
	}
	f.Book.SetOut(out, at)
}
