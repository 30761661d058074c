package zlclaim

import (
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

const (
	// maxAnswers bounds how many answers are kept.
	maxAnswers = 512
	// maxAnswerSize bounds the rows of an answer that is kept, in bytes.
	maxAnswerSize = 16 << 10
)

// Answers keeps a daemon's recent answers to non-idempotent requests, so that
// a caller that repeats one gets the answer of its first attempt. The zero
// value is ready for use.
type Answers struct {
	mu    sync.Mutex
	byID  map[zlunit.RequestID]*zlquery.Answer
	order [maxAnswers]zlunit.RequestID
	next  int
}

// Keep remembers a, unless it is too large. A must not change afterwards.
func (s *Answers) Keep(a *zlquery.Answer) {
	if sizeOf(a) > maxAnswerSize {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[zlunit.RequestID]*zlquery.Answer{}
	}
	delete(s.byID, s.order[s.next])
	s.order[s.next] = a.ID
	s.next = (s.next + 1) % maxAnswers
	s.byID[a.ID] = a
}

// Find returns the answer to id, or nil.
func (s *Answers) Find(id zlunit.RequestID) *zlquery.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
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
