package zlclaim

import (
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswers bounds how many answers are kept.
	maxAnswers = 512
	// maxAnswerSize bounds the rows of an answer that is kept, in bytes.
	maxAnswerSize = 16 << 10
)

// Ref names a request by its id and by what it asks, so that a caller who uses
// one id for two requests is not given the answer to the other one.
type Ref struct {
	ID    zlunit.RequestID `json:"id"`
	Print uint64           `json:"print"`
}

// RefOf returns the Ref of req.
func RefOf(req *zlquery.Request) Ref {
	return Ref{
		ID:    req.ID,
		Print: xxhash.Sum64String(string(req.Service) + "\x00" + string(req.Kind) + "\x00" + req.Text),
	}
}

// Answers keeps a daemon's recent answers to non-idempotent requests, so that
// a caller that repeats one gets the answer of its first attempt. The zero
// value is ready for use.
type Answers struct {
	mu    sync.Mutex
	byRef map[Ref]*zlquery.Answer
	order [maxAnswers]Ref
	next  int
}

// Keep remembers the answer to a request, unless it is too large. It must not
// change afterwards.
func (s *Answers) Keep(ref Ref, a *zlquery.Answer) {
	if sizeOf(a) > maxAnswerSize {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRef == nil {
		s.byRef = map[Ref]*zlquery.Answer{}
	}
	delete(s.byRef, s.order[s.next])
	s.order[s.next] = ref
	s.next = (s.next + 1) % maxAnswers
	s.byRef[ref] = a
}

// Find returns the answer to a request, or nil.
func (s *Answers) Find(ref Ref) *zlquery.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRef[ref]
}

func sizeOf(a *zlquery.Answer) int {
	n := 0
	for _, p := range a.Parts {
		for _, row := range p.Rows {
			n += len(row)
		}
	}
	return n
}
