package zljournal

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zldecision"

	"github.com/uber-go/tally/v4"
)

// oneEventOfEachType returns one event of each type, with its reason set.
func oneEventOfEachType() []zldecision.Event {
	s := zldecision.Subject{
		Request: "r-1",
		Route:   "all",
		Version: 7,
		Waited:  3 * time.Millisecond,
	}
	return []zldecision.Event{
		&zldecision.Answered{
			Subject: s,
			Status:  200,
			Missing: 1,
			Parts:   9,
			Early:   zldecision.ReasonObjectiveNear,
		},
		&zldecision.Refused{
			Subject: s,
			Reason:  zldecision.ReasonNoRoom,
		},
		&zldecision.Failed{
			Subject: s,
			Reason:  zldecision.ReasonTimeout,
		},
		&zldecision.Sent{
			Subject: s,
			Reason:  zldecision.ReasonOverdue,
		},
		&zldecision.Held{
			Subject: s,
			Reason:  zldecision.ReasonOverdue,
		},
		&zldecision.Belief{
			Topic: "registry",
			Name:  "i",
			What:  "gone",
		},
		&zldecision.Organisations{
			Version: 3,
			Added:   1,
		},
		&zldecision.Dependency{
			Name:  "store",
			State: "lost",
		},
		&zldecision.Forwarded{
			Subject: s,
			Reason:  zldecision.ReasonUplinkLost,
			To:      "vm-2",
			Parts:   10,
		},
		&zldecision.Declined{
			Subject: s,
			Reason:  zldecision.ReasonBusy,
			VM:      "vm-2",
		},
		&zldecision.Dropped{
			Request: "r-1",
			Reason:  zldecision.ReasonForeignReply,
		},
		&zldecision.Process{
			What: "start",
		},
	}
}

// runJournal records the events in a journal and returns its lines and counters.
func runJournal(events []zldecision.Event) (lines []map[string]any, counters map[string]tally.CounterSnapshot) {
	scope := tally.NewTestScope("", nil)
	var out bytes.Buffer
	done := make(chan struct{})
	j := &Journal{
		Writer: &out,
		VM:     "vm-1",
		Scope:  scope,
		Done:   done,
	}
	for _, e := range events {
		j.Record(e)
	}
	close(done)
	j.Run()
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(line), &m) == nil {
			lines = append(lines, m)
		}
	}
	return lines, scope.Snapshot().Counters()
}

// Each type of event is written and counted, and the line of an event about a request
// has its id.
func TestEveryEventHasALineAndACounter(t *testing.T) {
	for _, e := range oneEventOfEachType() {
		name := reflect.TypeOf(e).Elem().Name()
		lines, counters := runJournal([]zldecision.Event{e})
		if len(lines) != 1 || !strings.EqualFold(lines[0]["event"].(string), name) {
			t.Errorf("%s: got lines %v, want one of this event", name, lines)
			continue
		}
		if _, hasSubject := reflect.TypeOf(e).Elem().FieldByName("Subject"); hasSubject && lines[0]["request"] != "r-1" {
			t.Errorf("%s: got line %v without the request id", name, lines[0])
		}
		if len(counters) == 0 && name != "Process" {
			t.Errorf("%s: got no counter, want one", name)
		}
	}
}

// Guards against a new type of event that the other tests do not cover: each type of
// zldecision must be in oneEventOfEachType.
func TestEachEventTypeIsTested(t *testing.T) {
	tested := map[string]bool{}
	for _, e := range oneEventOfEachType() {
		tested[reflect.TypeOf(e).Elem().Name()] = true
	}
	file, err := parser.ParseFile(token.NewFileSet(), "../../../core/process/zldecision/zldecision.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Recv == nil || f.Name.Name != "event" {
			continue
		}
		name := f.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name
		if !tested[name] {
			t.Errorf("oneEventOfEachType lacks the event type %s", name)
		}
	}
}

// Each reason is written to the line and has a counter of its own.
func TestEveryReasonHasACounter(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../../core/process/zldecision/zldecision.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var reasons []zldecision.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if ok && len(v.Names) == 1 && strings.HasPrefix(v.Names[0].Name, "Reason") {
			reasons = append(reasons, zldecision.Reason(strings.Trim(v.Values[0].(*ast.BasicLit).Value, `"`)))
		}
		return true
	})
	if len(reasons) < 20 {
		t.Fatalf("found %d reasons in zldecision, want at least 20", len(reasons))
	}
	for _, r := range reasons {
		lines, counters := runJournal([]zldecision.Event{&zldecision.Refused{
			Reason: r,
		}})
		if len(lines) != 1 || lines[0]["reason"] != string(r) {
			t.Errorf("%s: got lines %v, want one with this reason", r, lines)
		}
		if _, ok := counters["refused+reason="+string(r)]; !ok {
			t.Errorf("%s: got counters %v, want one with this reason", r, counters)
		}
	}
}

// Each route and outcome has a latency histogram; the routes beyond maxRouteTags share
// one for each outcome.
func TestLatencyHistogramsByRouteAndOutcome(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	j := &Journal{
		Scope: scope,
	}
	for i := range 2 * maxRouteTags {
		s := zldecision.Subject{
			Route: strconv.Itoa(i),
		}
		for _, e := range []zldecision.Event{
			&zldecision.Answered{
				Subject: s,
			},
			&zldecision.Answered{
				Subject: s,
				Late:    true,
			},
			&zldecision.Refused{
				Subject: s,
			},
			&zldecision.Failed{
				Subject: s,
			},
		} {
			j.Record(e)
		}
	}
	got := scope.Snapshot().Histograms()
	if len(got) != 4*(maxRouteTags+1) {
		t.Fatalf("got %d histograms, want %d", len(got), 4*(maxRouteTags+1))
	}
	for _, outcome := range []string{"inObjective", "late", "refused", "failed"} {
		if _, ok := got["waited+outcome="+outcome+",route=others"]; !ok {
			t.Errorf("no shared histogram for outcome %s", outcome)
		}
	}
}

// Guards against a blocked log reader that blocks the daemon: Record does not wait, and
// the queue is bounded.
func TestBlockedReaderDoesNotBlockRecord(t *testing.T) {
	reader, writer := io.Pipe()
	done := make(chan struct{})
	j := &Journal{
		Writer: writer,
		Done:   done,
	}
	ended := make(chan struct{})
	go func() {
		j.Run()
		close(ended)
	}()
	for range 20 * queueSize {
		j.Record(&zldecision.Process{
			What: "start",
		})
	}
	if n := len(j.queue); n > queueSize {
		t.Fatalf("got %d queued events, want at most queueSize", n)
	}
	if j.dropped.Load() < 18*queueSize {
		t.Fatalf("got %d dropped lines, want at least 18 times queueSize", j.dropped.Load())
	}
	close(done)
	_ = reader.Close()
	<-ended
}

// Over the line limit routine answers are dropped first and counted; refusals are
// written.
func TestRoutineAnswersAreDroppedFirst(t *testing.T) {
	var events []zldecision.Event
	for range 400 {
		events = append(events, &zldecision.Answered{})
	}
	// An organisation that sends many times its limit must not displace other lines either.
	for range 400 {
		events = append(events, &zldecision.Refused{
			Reason: zldecision.ReasonOrganisationLimit,
		})
	}
	for range 50 {
		events = append(events, &zldecision.Refused{
			Reason: zldecision.ReasonNoRoom,
		})
	}
	lines, _ := runJournal(events)
	refused, dropped := 0, 0.0
	for _, l := range lines {
		switch l["event"] {
		case "refused":
			if l["reason"] == string(zldecision.ReasonNoRoom) {
				refused++
			}
		case "leftOut":
			dropped = l["plain"].(float64)
		}
	}
	// The line limits may start anew once, if the test runs across the start of a
	// second.
	if refused != 50 || dropped < 300 {
		t.Fatalf("got %d refusals written and %v routine answers dropped, want 50 and at least 300", refused, dropped)
	}
}
