// Package zljournal writes decisions as one JSON line each and counts them. It
// never blocks those who decide: lines beyond the budget are left out and
// counted.
package zljournal

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const (
	// linesPerSecond bounds the lines of a process, at about 400 bytes each.
	linesPerSecond = 200
	// plainShare is the part of the budget that plain answers may use.
	plainShare = 0.1
	// queueSize is how many lines wait for a slow reader.
	queueSize = 1024
	// summaryEach is how often a line says what was left out.
	summaryEach = 5 * time.Second
)

// Journal implements zldecision.Sink. Exported fields must be set before Run.
type Journal struct {
	Writer io.Writer
	VM     zlunit.VM
	Scope  tally.Scope
	Done   <-chan struct{}

	queue   chan zldecision.Event
	once    sync.Once
	dropped atomic.Int64
	sampled atomic.Int64

	mu     sync.Mutex
	second int64
	lines  int
	plain  int
	routes map[string]bool
}

func (j *Journal) init() {
	j.once.Do(func() {
		j.queue = make(chan zldecision.Event, queueSize)
	})
}

// Record implements zldecision.Sink.
func (j *Journal) Record(e zldecision.Event) {
	j.init()
	j.count(e)
	if !j.admit(e) {
		return
	}
	select {
	case j.queue <- e:
	default:
		j.dropped.Add(1)
	}
}

// admit reports whether the budget of this second bears the line.
func (j *Journal) admit(e zldecision.Event) bool {
	now := time.Now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now != j.second {
		j.second = now
		j.lines = 0
		j.plain = 0
	}
	if isPlain(e) {
		if j.plain >= plainShare*linesPerSecond || j.lines >= linesPerSecond/2 {
			j.sampled.Add(1)
			return false
		}
		j.plain++
	}
	if j.lines >= linesPerSecond && !isKept(e) {
		j.dropped.Add(1)
		return false
	}
	j.lines++
	return true
}

// isPlain reports whether an event tells of nothing out of the ordinary.
func isPlain(e zldecision.Event) bool {
	switch e := e.(type) {
	case *zldecision.Answered:
		return !e.Late && e.Missing == 0
	case *zldecision.Sent, *zldecision.Held:
		return true
	default:
		return false
	}
}

// isKept reports whether an event is written beyond the budget of lines.
func isKept(e zldecision.Event) bool {
	switch e.(type) {
	case *zldecision.Process, *zldecision.Dependency:
		return true
	default:
		return false
	}
}

// Run writes lines until Done is closed, and then what is left.
func (j *Journal) Run() {
	j.init()
	logger := &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: log.TimeFormatUnixMs,
		Writer: &log.IOWriter{
			Writer: j.Writer,
		},
	}
	ticker := time.NewTicker(summaryEach)
	defer ticker.Stop()
	for {
		select {
		case e := <-j.queue:
			write(logger, j.VM, e)
		case <-ticker.C:
			j.summary(logger)
		case <-j.Done:
			j.flush(logger)
			return
		}
	}
}

func (j *Journal) flush(logger *log.Logger) {
	for {
		select {
		case e := <-j.queue:
			write(logger, j.VM, e)
		default:
			j.summary(logger)
			return
		}
	}
}

func (j *Journal) summary(logger *log.Logger) {
	dropped, sampled := j.dropped.Swap(0), j.sampled.Swap(0)
	if dropped+sampled > 0 {
		logger.Info().Str("vm", string(j.VM)).Str("event", "leftOut").
			Int64("dropped", dropped).Int64("plain", sampled).Msg("")
	}
}
