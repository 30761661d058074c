package zladmission

import (
	"slices"
	"sort"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

const (
	// queuePerSlot and maxQueued bound the waiting sub-requests: per slot in
	// use, and in all.
	queuePerSlot = 64
	maxQueued    = 256
)

// Rank orders sub-requests of one priority. First sends are worth most, since
// the others only repeat them.
type Rank int

// The ranks, the least valuable first.
const (
	RankHedge Rank = iota
	RankRetry
	RankFirst
)

// Value is the worth of a waiting sub-request. Under overload, the one of
// least value is refused first.
type Value uint64

// The widths of the parts of a Value.
const (
	rankBits     = 2
	priorityBits = 4
)

// ValueOf orders by priority (0 to 9), then by rank, then by a hash of the
// query id. By the hash, all gates refuse sub-requests of the same queries, so
// that the other queries stay complete.
func ValueOf(priority int, rank Rank, query zlunit.QueryID) Value {
	v := Value(min(max(priority, 0), 9)) << (64 - priorityBits)
	v |= Value(rank) << (64 - priorityBits - rankBits)
	return v | Value(xxhash.Sum64String(string(query))>>(priorityBits+rankBits))
}

// queue holds the waiting tickets by deadline, the latest first, so that the
// next one is taken from the end.
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

// leastValuable returns the ticket of least value among those from index i on.
func (q *queue) leastValuable(i int) *Ticket {
	found := q.tickets[i]
	for _, t := range q.tickets[i:] {
		if t.Value < found.Value {
			found = t
		}
	}
	return found
}

// firstLate returns the index of the first ticket, in order of deadline, that
// would miss its deadline if a ticket is granted every interval and then takes
// service; or -1.
func (q *queue) firstLate(now time.Time, interval, service time.Duration) int {
	end := now.Add(service)
	for i := len(q.tickets) - 1; i >= 0; i-- {
		end = end.Add(interval)
		if q.tickets[i].Deadline.Before(end) {
			return i
		}
	}
	return -1
}
