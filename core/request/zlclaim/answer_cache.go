package zlclaim

import (
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswers is how many answers are kept.
	maxAnswers = 512
	// maxAnswerBytes is the largest total size of the rows of an answer that is
	// kept.
	maxAnswerBytes = 16 << 10
)

// Ref identifies a request by its id and a hash of its content. If a caller
// uses one id for two requests, neither gets the answer to the other.
type Ref struct {
	// ID is the id of the request.
	ID zlunit.RequestID `json:"id"`
	// Fingerprint is the hash of its service, kind and text.
	Fingerprint uint64 `json:"print"`
}

// RefOf returns the Ref of req.
func RefOf(req *zlquery.Request) Ref {
	return Ref{
		ID:          req.ID,
		Fingerprint: xxhash.Sum64String(string(req.Service) + "\x00" + string(req.Kind) + "\x00" + req.Text),
	}
}

// AnswerCache is a cache of a daemon's recent answers to non-idempotent requests. A
// caller that repeats such a request gets the answer of its first attempt. The
// zero value is ready for use; the methods may be called concurrently.
type AnswerCache struct {
	mu    sync.Mutex
	byRef map[Ref]*zlquery.Answer
	// ring holds the cached requests in the order of Add; next is the index that
	// the next one overwrites.
	ring [maxAnswers]Ref
	next int
}

// Add adds the answer to a request to the cache, in place of the oldest one,
// unless it is larger than maxAnswerBytes. The answer must not be changed
// afterwards.
func (c *AnswerCache) Add(ref Ref, a *zlquery.Answer) {
	if rowBytes(a) > maxAnswerBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRef == nil {
		c.byRef = map[Ref]*zlquery.Answer{}
	}
	delete(c.byRef, c.ring[c.next])
	c.ring[c.next] = ref
	c.next = (c.next + 1) % maxAnswers
	c.byRef[ref] = a
}

// Get returns the cached answer to a request, or nil if there is none.
func (c *AnswerCache) Get(ref Ref) *zlquery.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRef[ref]
}

// rowBytes returns the total size of the rows of an answer.
func rowBytes(a *zlquery.Answer) int {
	n := 0
	for _, p := range a.Parts {
		for _, row := range p.Rows {
			n += len(row)
		}
	}
	return n
}
