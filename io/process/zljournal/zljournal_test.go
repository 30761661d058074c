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

// everyEvent has one event of each type, with its reason set.
func everyEvent() []zldecision.Event {
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
		&zldecision.Dependency{
			Name:  "store",
			State: "lost",
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

// journal runs one with the events and returns its lines and counters.
func journal(events []zldecision.Event) (lines []map[string]any, counters map[string]tally.CounterSnapshot) {
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

// Each type of event has a line, and those about a request name it.
func TestEveryEventHasALineAndACounter(t *testing.T) {
	for _, e := range everyEvent() {
		name := reflect.TypeOf(e).Elem().Name()
		lines, counters := journal([]zldecision.Event{e})
		if len(lines) != 1 || !strings.EqualFold(lines[0]["event"].(string), name) {
			t.Errorf("%s: lines %v", name, lines)
			continue
		}
		if _, about := reflect.TypeOf(e).Elem().FieldByName("Subject"); about && lines[0]["request"] != "r-1" {
			t.Errorf("%s: no request id in %v", name, lines[0])
		}
		if len(counters) == 0 && name != "Process" {
			t.Errorf("%s has no counter", name)
		}
	}
}

// A type of event that is added without a place in everyEvent fails here.
func TestNoTypeOfEventIsForgotten(t *testing.T) {
	have := map[string]bool{}
	for _, e := range everyEvent() {
		have[reflect.TypeOf(e).Elem().Name()] = true
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
		if !have[name] {
			t.Errorf("%s is not written and counted by a test", name)
		}
	}
}

// Each reason, of whatever event, reaches the line and a counter of its own.
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
		t.Fatalf("%d reasons found", len(reasons))
	}
	for _, r := range reasons {
		lines, counters := journal([]zldecision.Event{&zldecision.Refused{
			Reason: r,
		}})
		if len(lines) != 1 || lines[0]["reason"] != string(r) {
			t.Errorf("%s: lines %v", r, lines)
		}
		if _, ok := counters["refused+reason="+string(r)]; !ok {
			t.Errorf("%s: counters %v", r, counters)
		}
	}
}

// Each outcome of a request has a histogram for its route; many routes share one.
func TestWaitsAreToldByRouteAndOutcome(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	j := &Journal{
		Scope: scope,
	}
	for i := range 2 * routesTold {
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
	if len(got) != 4*(routesTold+1) {
		t.Fatalf("%d histograms, want %d", len(got), 4*(routesTold+1))
	}
	for _, outcome := range []string{"inObjective", "late", "refused", "failed"} {
		if _, ok := got["waited+outcome="+outcome+",route=others"]; !ok {
			t.Errorf("no histogram of the others, %s", outcome)
		}
	}
}

// A reader that stopped reading delays nobody, and what waits for it is bounded.
func TestReaderThatStoppedReadingDelaysNobody(t *testing.T) {
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
		t.Fatalf("%d lines wait", n)
	}
	if j.dropped.Load() < 18*queueSize {
		t.Fatalf("%d lines were counted as left out", j.dropped.Load())
	}
	close(done)
	_ = reader.Close()
	<-ended
}

// Under load plain answers are left out first and counted; refusals are kept.
func TestPlainAnswersAreLeftOutFirst(t *testing.T) {
	var events []zldecision.Event
	for range 400 {
		events = append(events, &zldecision.Answered{})
	}
	for range 50 {
		events = append(events, &zldecision.Refused{
			Reason: zldecision.ReasonNoRoom,
		})
	}
	lines, _ := journal(events)
	refused, left := 0, 0.0
	for _, l := range lines {
		switch l["event"] {
		case "refused":
			refused++
		case "leftOut":
			left = l["plain"].(float64)
		}
	}
	// The test may cross the turn of a second once.
	if refused != 50 || left < 300 {
		t.Fatalf("%d refusals written, %v plain answers left out", refused, left)
	}
}
