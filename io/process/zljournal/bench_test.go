package zljournal

import (
	"io"
	"testing"
	"time"

	"zinnialock/core/process/zldecision"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// BenchmarkRecord measures the cost of one event: without a sink, counted and written,
// and counted but dropped by the limit of lines.
func BenchmarkRecord(b *testing.B) {
	e := &zldecision.Refused{
		Subject: zldecision.Subject{
			Request: "9c41d07be2a35f68",
			Route:   "r-fvzxbdg",
			Version: 7,
			Waited:  11600 * time.Microsecond,
		},
		Reason: zldecision.ReasonNoRoom,
	}
	b.Run("withoutSink", func(b *testing.B) {
		var sink zldecision.Sink
		for range b.N {
			if sink != nil {
				sink.Record(e)
			}
		}
	})
	b.Run("written", func(b *testing.B) {
		j := &Journal{
			Writer: io.Discard,
			Scope:  tally.NewTestScope("", nil),
		}
		logger := &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: log.TimeFormatUnixMs,
			Writer: &log.IOWriter{
				Writer: io.Discard,
			},
		}
		for range b.N {
			j.count(e)
			write(logger, "vm-1", e)
		}
	})
	b.Run("overLineLimit", func(b *testing.B) {
		j := &Journal{
			Writer: io.Discard,
			Scope:  tally.NewTestScope("", nil),
		}
		for range 2 * maxLinesPerSecond {
			j.Record(e)
		}
		b.ResetTimer()
		for range b.N {
			j.Record(e)
		}
	})
}
