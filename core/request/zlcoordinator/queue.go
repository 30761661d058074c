package zlcoordinator

import (
	"sync"

	"zinnialock/core/request/zlquery"
)

// replyQueue is an unbounded queue of replies. It is safe for concurrent use,
// and no method blocks.
type replyQueue struct {
	// ready receives a value when replies are queued.
	ready chan struct{}

	mu      sync.Mutex
	replies []zlquery.Reply
	closed  bool
}

func newReplyQueue(replies []zlquery.Reply) *replyQueue {
	return &replyQueue{
		ready:   make(chan struct{}, 1),
		replies: replies,
	}
}

// push queues a reply. It reports false once the queue is closed.
func (q *replyQueue) push(r zlquery.Reply) bool {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return false
	}
	q.replies = append(q.replies, r)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// drain returns the queued replies. The queue continues in the memory of spare.
func (q *replyQueue) drain(spare []zlquery.Reply) []zlquery.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := q.replies
	q.replies = spare[:0]
	return queued
}

// close makes push refuse replies, and returns those that are queued together
// with the memory of the queue.
func (q *replyQueue) close() []zlquery.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	memory := q.replies
	q.replies = nil
	return memory
}
