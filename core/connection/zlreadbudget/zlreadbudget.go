// Package zlreadbudget bounds the bytes that a process holds of messages which are
// still being read or used, over all connections of one kind. A peer may send a head or
// a body without end; a limit on each message alone does not bound the memory, since
// many such messages can arrive at once. It does no I/O: readers ask it before they
// keep more bytes.
//
// Load pattern: some peers send without end while others send short messages. A reader
// may hold at most as many bytes as are free, so n endless messages hold n/(n+1) of the
// budget, and the rest stays free for the others. This is the dynamic threshold of
// Choudhury and Hahne for shared buffers (IEEE/ACM Transactions on Networking 6(2),
// 1998) with a factor of one.
package zlreadbudget

import "sync"

// Bytes is a number of bytes.
type Bytes int64

// Budget is shared by all readers of one kind. Limit must be set before use; the
// methods of it and of its reservations may be called concurrently.
type Budget struct {
	// Limit is the number of bytes that all readers together may hold.
	Limit Bytes
	// Total, if not nil, limits what this budget and others hold together. It has no Total
	// itself.
	Total *Budget

	mu   sync.Mutex
	used Bytes
}

// take adds n bytes to those held and reports whether the limits allow a reader that holds held
// of them to have as many more.
func (b *Budget) take(held, n Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held+n > b.Limit-b.used || b.Total != nil && !b.Total.take(held, n) {
		return false
	}
	b.used += n
	return true
}

// free returns n bytes.
func (b *Budget) free(n Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.Total != nil {
		b.Total.free(n)
	}
}

// Used returns the number of bytes held.
func (b *Budget) Used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is what one reader holds of its Budget. A nil Budget allows everything.
type Reservation struct {
	// Budget must be set before use.
	Budget *Budget

	mu     sync.Mutex
	held   Bytes
	closed bool
}

// Grow adds n bytes and reports whether the budget allows it. Without permission the
// reservation stays as it is, and the reader must stop reading.
func (r *Reservation) Grow(n Bytes) bool {
	if r.Budget == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.Budget.take(r.held, n) {
		return false
	}
	r.held += n
	return true
}

// Reset returns the bytes held; the reservation may be used again.
func (r *Reservation) Reset() {
	r.release(false)
}

// Close returns the bytes held; Grow is refused from then on.
func (r *Reservation) Close() {
	r.release(true)
}

func (r *Reservation) release(closed bool) {
	if r.Budget == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Budget.free(r.held)
	r.held = 0
	r.closed = r.closed || closed
}
