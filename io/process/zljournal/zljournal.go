// Package zljournal is the sink of the events of zldecision in both deployments: it
// counts events by type and reason and writes each as one JSON line to the log. It
// never blocks the code that records an event: lines beyond the rate limit or the
// queue are dropped, and a summary line reports how many. It is not an audit log:
// only the counters are complete, and it keeps nothing in memory to query, as
// zltrace and zlevent do.
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
	// maxLinesPerSecond limits the lines of a process, of about 400 bytes each.
	maxLinesPerSecond = 200
	// routineShare is the share of maxLinesPerSecond that routine events may use.
	routineShare = 0.1
	// queueSize is how many events are queued for a slow reader of the log.
	queueSize = 1024
	// summaryInterval is how often a line reports the number of dropped lines.
	summaryInterval = 5 * time.Second
)

// Journal implements zldecision.Sink. Exported fields must be set before use. Record
// may be called concurrently, also before Run.
type Journal struct {
	// Writer receives the lines.
	Writer io.Writer
	// VM names this VM in each line.
	VM zlunit.VM
	// Scope receives the counters and histograms; nil drops them.
	Scope tally.Scope
	// Done ends Run.
	Done <-chan struct{}

	queue chan zldecision.Event
	once  sync.Once
	// dropped and routineDropped count the lines dropped since the last summary.
	dropped        atomic.Int64
	routineDropped atomic.Int64

	mu sync.Mutex
	// second is the current second in Unix time; lines and routineLines count the
	// lines admitted in it.
	second       int64
	lines        int
	routineLines int
	// routes holds the routes with histograms of their own.
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

// admit reports whether the line limits of the current second allow another line, and
// counts it.
func (j *Journal) admit(e zldecision.Event) bool {
	now := time.Now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now != j.second {
		j.second = now
		j.lines = 0
		j.routineLines = 0
	}
	if isRoutine(e) {
		if j.routineLines >= routineShare*maxLinesPerSecond || j.lines >= maxLinesPerSecond/2 {
			j.routineDropped.Add(1)
			return false
		}
		j.routineLines++
	}
	if j.lines >= maxLinesPerSecond && !isExempt(e) {
		j.dropped.Add(1)
		return false
	}
	j.lines++
	return true
}

// isRoutine reports whether an event belongs to normal operation. Such events are
// dropped first.
func isRoutine(e zldecision.Event) bool {
	switch e := e.(type) {
	case *zldecision.Answered:
		return !e.Late && e.Missing == 0
	case *zldecision.Sent, *zldecision.Held:
		return true
	case *zldecision.Refused:
		// A caller that tries keys, or a hot organisation, must not displace the lines of
		// others.
		switch e.Reason {
		case zldecision.ReasonNoKey, zldecision.ReasonUnknownKey, zldecision.ReasonOverShare, zldecision.ReasonOrganisationLimit:
			return true
		default:
			return false
		}
	default:
		return false
	}
}

// isExempt reports whether an event is written even over maxLinesPerSecond.
func isExempt(e zldecision.Event) bool {
	switch e.(type) {
	case *zldecision.Process, *zldecision.Dependency:
		return true
	default:
		return false
	}
}

// Run writes lines until Done is closed, and then those still queued.
func (j *Journal) Run() {
	j.init()
	logger := &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: log.TimeFormatUnixMs,
		Writer: &log.IOWriter{
			Writer: j.Writer,
		},
	}
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-j.queue:
			write(logger, j.VM, e)
		case <-ticker.C:
			j.writeSummary(logger)
		case <-j.Done:
			j.flush(logger)
			return
		}
	}
}

// flush writes the queued events and a summary.
func (j *Journal) flush(logger *log.Logger) {
	for {
		select {
		case e := <-j.queue:
			write(logger, j.VM, e)
		default:
			j.writeSummary(logger)
			return
		}
	}
}

// writeSummary writes how many lines were dropped since the last summary, unless none
// were.
func (j *Journal) writeSummary(logger *log.Logger) {
	dropped, routine := j.dropped.Swap(0), j.routineDropped.Swap(0)
	if dropped+routine > 0 {
		logger.Info().Str("vm", string(j.VM)).Str("event", "leftOut").
			Int64("dropped", dropped).Int64("plain", routine).Msg("")
	}
}
