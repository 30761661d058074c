package zlcoord

import (
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// room is memory that runs use in turn. Only a run's own goroutine touches
// it, but for the replies, which the inbox guards until it is closed.
type room struct {
	subs   []subState
	shards []shardState
	took   []time.Duration
	skip   []zlunit.Upstream
	spare  []zlquery.Reply
	// waiting is the inbox's own memory.
	waiting []zlquery.Reply
}

var rooms = sync.Pool{
	New: func() any {
		return &room{}
	},
}

func (m *room) lend(r *run) {
	r.inbox = newInbox(m.waiting)
	r.subs = m.subs
	r.shards = m.shards
	r.took = m.took
	r.skip = m.skip
	r.spare = m.spare
}

// put takes the memory back, without what it points at.
func (m *room) put(r *run) {
	clear(r.subs)
	clear(r.spare)
	clear(m.waiting)
	m.waiting = m.waiting[:0]
	m.subs = r.subs[:0]
	m.shards = r.shards[:0]
	m.took = r.took[:0]
	m.skip = r.skip[:0]
	m.spare = r.spare[:0]
	rooms.Put(m)
}
