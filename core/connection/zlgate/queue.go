package zlgate

import (
	"slices"
	"sort"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	// queuePerSlot and queueMost bound the waiting sub-requests.
	queuePerSlot = 64
	queueMost    = 256
)

// Rank orders sub-requests of one priority; first tries are worth most.
type Rank int

// The ranks, the least valuable first.
const (
	RankHedge Rank = iota
	RankRetry
	RankFirst
)

// Value tells which waiting sub-request is given up first under overload: the
// one of least value.
type Value uint64

const (
	rankBits     = 2
	priorityBits = 4
)

// ValueOf ranks by priority (0 to 9), then by rank, then by a hash of the
// query: every gate gives up the same queries, so that those which are kept
// stay whole.
func ValueOf(priority int, rank Rank, query zlunit.QueryID) Value {
	v := Value(min(max(priority, 0), 9)) << (64 - priorityBits)
	v |= Value(rank) << (64 - priorityBits - rankBits)
	return v | Value(xxhash.Sum64String(string(query))>>(priorityBits+rankBits))
}

// queue holds waiting tickets, the latest deadline first, so that the next one
// is taken off the end.
type queue struct {
	tickets []*Ticket
}

func (q *queue) len() int {
	return len(q.tickets)
}

func (q *queue) insert(t *Ticket) {
	i := sort.Search(len(q.tickets), func(i int) bool {
		return !q.tickets[i].Deadline.After(t.Deadline)
	})
	q.tickets = slices.Insert(q.tickets, i, t)
}

// pop returns the ticket with the earliest deadline.
func (q *queue) pop() *Ticket {
	n := len(q.tickets) - 1
	t := q.tickets[n]
	q.tickets[n] = nil
	q.tickets = q.tickets[:n]
	return t
}

func (q *queue) remove(t *Ticket) {
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}

// least returns the least valuable of the tickets from index i on.
func (q *queue) least(i int) *Ticket {
	worst := q.tickets[i]
	for _, t := range q.tickets[i:] {
		if t.Value < worst.Value {
			worst = t
		}
	}
	return worst
}

// late returns the index of the first ticket, in order of deadline, that would
// not end in time if each turn took step and the work itself service; or -1.
func (q *queue) late(now time.Time, step, service time.Duration) int {
	end := now.Add(service)
	for i := len(q.tickets) - 1; i >= 0; i-- {
		end = end.Add(step)
		if q.tickets[i].Deadline.Before(end) {
			return i
		}
	}
	return -1
}
