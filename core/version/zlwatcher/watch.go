package zlwatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
)

// list reads a whole topic and replaces the entries held for it. A pause other than 0
// means that the table is not written yet and the list is to be repeated after it.
func (w *Watcher) list(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
	at := w.Timer.Now()
	d := &Delta{
		Full: true,
	}
	after := ""
	for pages := 1; ; pages++ {
		page, err := w.Store.List(ctx, t, after)
		if err != nil {
			return 0, err
		}
		switch {
		case after == "":
			// The watch starts at the first page's revision, so that it also
			// returns the changes made while the later pages were read.
			d.ToRevision = page.Revision
		case page.Revision.Era != d.ToRevision.Era:
			return 0, errEraChanged
		}
		d.Items = append(d.Items, page.Items...)
		if page.Next == "" {
			break
		}
		if pages >= maxListPages || page.Next == after {
			return 0, errEndlessList
		}
		after = page.Next
	}
	if t == TopicTable && len(d.Items) == 0 && !state.isKnown() {
		return emptyTableDelay, nil
	}
	w.noteAnswer(at)
	w.applyDelta(t, d, at, true)
	state.noteAnswer(at)
	return 0, nil
}

// watch waits for changes of a topic and applies them. The pause is the time to the
// next watch.
func (w *Watcher) watch(ctx context.Context, t Topic, state *topicState) (time.Duration, error) {
	fromRevision, keepShort := state.startWatch(w.Timer.Now())
	wait := watchTimeout
	if keepShort {
		wait = t.watchInterval()
	}
	page, err := w.Store.Watch(ctx, t, fromRevision, wait)
	if err != nil {
		return 0, err
	}
	at := w.Timer.Now()
	if page.Revision.Era != fromRevision.Era {
		// The store went back; the changes since fromRevision are not those that this
		// VM lacks.
		w.noteEra(page.Revision.Era)
		return 0, errEraChanged
	}
	defer state.noteAnswer(at)
	if len(page.Items) == 0 {
		w.confirm(t, at)
		return 0, nil
	}
	w.applyDelta(t, &Delta{
		FromRevision: fromRevision,
		ToRevision:   page.Revision,
		Items:        page.Items,
	}, at, true)
	return t.watchInterval(), nil
}

// confirm records that the registry's data for topic t was up to date at the given time.
func (w *Watcher) confirm(t Topic, at time.Time) {
	switch t {
	case TopicTable:
		w.Registry.Confirm(time.Time{}, at, time.Time{})
		w.noteConfirmed(TopicTable, at)
	case TopicReplicas:
		w.Registry.Confirm(at, time.Time{}, time.Time{})
	case TopicOutOfService:
		w.Registry.Confirm(time.Time{}, time.Time{}, at)
	case TopicRollouts:
		// The registry holds no orders.
	}
}

// publish brings into force what is held of a topic after a delta.
func (w *Watcher) publish(t Topic, items map[string]Item, d *Delta, at, deadline time.Time) {
	switch t {
	case TopicTable:
		for _, i := range d.Items {
			if table, ok := i.(*TableItem); ok && table.Table != nil {
				w.Registry.SetTable(table.Table, at, deadline)
			}
		}
	case TopicReplicas:
		if d.Full {
			w.Registry.Replace(replicasOf(items), at)
		} else {
			w.Registry.Apply(changesOf(d.Items), at)
		}
	case TopicOutOfService:
		w.setOut(items, at)
	case TopicRollouts:
		w.OnOrders(ordersOf(items), at)
	}
}

// ordersOf returns the orders among items, by name.
func ordersOf(items map[string]Item) []zlrollout.Order {
	orders := make([]zlrollout.Order, 0, len(items))
	for _, name := range slices.Sorted(maps.Keys(items)) {
		if r, ok := items[name].(*RolloutItem); ok {
			orders = append(orders, *r.Order)
		}
	}
	return orders
}

func replicasOf(items map[string]Item) []zlregistry.Replica {
	all := make([]zlregistry.Replica, 0, len(items))
	for _, i := range items {
		if r, ok := i.(*ReplicaItem); ok {
			all = append(all, *r.Replica)
		}
	}
	return all
}

func changesOf(items []Item) []zlregistry.Change {
	changes := make([]zlregistry.Change, 0, len(items))
	for _, i := range items {
		if r, ok := i.(*ReplicaItem); ok {
			changes = append(changes, zlregistry.Change{
				ID:      r.ID,
				Replica: r.Replica,
			})
		}
	}
	return changes
}

// tableDeadline returns the time at which a table that arrives now must be in force, or
// zero if that is not known. The table is newer than the last confirmation of what
// this VM holds, and may have been written during the pause between two watches. One that a
// list brings may have been written at any time since the last watch was answered: the next
// may have been lost, and probes don't show that.
func (w *Watcher) tableDeadline(d *Delta, fromStore bool) time.Time {
	var at time.Time
	switch {
	case d.Full && fromStore:
		at = w.topics[TopicTable].lastAnswer()
	case d.Full:
		// It is not known when the peer's last watch was answered.
	default:
		at = w.ConfirmedAt()
		if w.PollPolicy != nil {
			if s := w.PollPolicy.PeersConfirmedAt(); s.After(at) {
				at = s
			}
		}
	}
	if at.IsZero() || w.UpdateBound <= 0 {
		return time.Time{}
	}
	return at.Add(w.UpdateBound - tableWatchInterval - applyMargin)
}

// setOut sets the data centres out of service to those that items name.
func (w *Watcher) setOut(items map[string]Item, at time.Time) {
	out := map[zlunit.DataCentre]bool{}
	for _, i := range items {
		if item, ok := i.(*OutOfServiceItem); ok {
			out[item.DataCentre] = true
		}
	}
	w.Registry.SetOutOfService(w.withHeldOut(out), at)
}
