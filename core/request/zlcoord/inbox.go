package zlcoord

import (
	"sync"

	"zinnialock/core/request/zlquery"
)

// inbox takes replies from any goroutine without ever blocking it.
type inbox struct {
	// wake receives when replies are waiting.
	wake chan struct{}

	mu      sync.Mutex
	replies []zlquery.Reply
	closed  bool
}

func newInbox(replies []zlquery.Reply) *inbox {
	return &inbox{
		wake:    make(chan struct{}, 1),
		replies: replies,
	}
}

// put reports false once the inbox is closed.
func (b *inbox) put(r zlquery.Reply) bool {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return false
	}
	b.replies = append(b.replies, r)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// drain swaps the waiting replies for the empty slice spare.
func (b *inbox) drain(spare []zlquery.Reply) []zlquery.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.replies
	b.replies = spare[:0]
	return out
}

// close ends the inbox and gives its memory back.
func (b *inbox) close() []zlquery.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	out := b.replies
	b.replies = nil
	return out
}
