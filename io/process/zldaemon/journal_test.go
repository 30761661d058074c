package zldaemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlmetric"
	"zinnialock/io/process/zlplatform"
)

// runJournal calls note with the journal of a daemon and returns the lines and the
// metrics that it wrote.
func runJournal(t *testing.T, note func(j *journal)) (lines []map[string]any, metrics string) {
	t.Helper()
	var out bytes.Buffer
	d := &Daemon{
		Config: &zlconfig.Config{
			Name: "vm1",
		},
		Out:     &out,
		views:   &zlview.CurrentView{},
		metrics: zlmetric.New(nil),
		traces:  &zltrace.Store{},
	}
	d.buildJournal()
	note(d.journal)
	d.journal.close()
	<-d.journal.finished
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		m := map[string]any{}
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("line %q is not JSON: %v", line, err)
		}
		lines = append(lines, m)
	}
	var text bytes.Buffer
	if err := d.metrics.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	return lines, text.String()
}

// allReasons returns the values of all constants of zlquery.Reason but ReasonNone, as
// they stand in the source.
func allReasons(t *testing.T) []zlquery.Reason {
	t.Helper()
	files, err := filepath.Glob("../../../core/request/zlquery/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var list []zlquery.Reason
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Names) != 1 || !strings.HasPrefix(v.Names[0].Name, "Reason") || len(v.Values) != 1 {
				return true
			}
			if r := zlquery.Reason(strings.Trim(v.Values[0].(*ast.BasicLit).Value, `"`)); r != zlquery.ReasonNone {
				list = append(list, r)
			}
			return true
		})
	}
	if len(list) < 20 {
		t.Fatalf("got %d reasons in the source of zlquery, want at least 20", len(list))
	}
	return list
}

// TestEveryDecisionHasALineAndACounter guards against a reason that is missing in the
// lines or the metrics. It records a refusal, a failure and a retry with each reason of
// zlquery.
func TestEveryDecisionHasALineAndACounter(t *testing.T) {
	for _, r := range allReasons(t) {
		for name, trace := range map[string]*zltrace.Trace{
			"refused": {
				Request: "r-1",
				Outcome: zlquery.OutcomeNotRun,
				Reason:  r,
			},
			"failed": {
				Request: "r-1",
				Outcome: zlquery.OutcomeUnknown,
				Reason:  r,
			},
			"sent": {
				Request: "r-1",
				Outcome: zlquery.OutcomeDone,
				Attempts: []zltrace.Attempt{
					{
						Sub:      0,
						Shard:    3,
						Upstream: "u1",
						Cause:    zltrace.CauseFirst,
					},
					{
						Sub:      1,
						Shard:    3,
						Upstream: "u2",
						Cause:    zltrace.CauseRetry,
						Why:      r,
					},
				},
			},
		} {
			lines, metrics := runJournal(t, func(j *journal) {
				j.Keep(trace)
			})
			line := lines[0]
			if line["event"] != name || line["reason"] != string(r) || line["request"] != "r-1" {
				t.Errorf("%s, reason %s: got line %v, want this event, this reason and request r-1", name, r, line)
			}
			if name == "sent" && (line["from"] != "u1" || line["to"] != "u2") {
				t.Errorf("sent, reason %s: got line %v, want from u1 to u2", r, line)
			}
			if !strings.Contains(metrics, "zinnialock."+name+"{reason=\""+string(r)+"\"} 1") {
				t.Errorf("%s, reason %s: got metrics %s, want a count of 1", name, r, metrics)
			}
		}
	}
}

// TestAnswerWithoutAPartIsExplained checks that the lines of an incomplete answer say
// which part is missing, why the request ended without it, and which second send was
// not made.
func TestAnswerWithoutAPartIsExplained(t *testing.T) {
	lines, _ := runJournal(t, func(j *journal) {
		j.Keep(&zltrace.Trace{
			Request: "r-1",
			Service: "finder",
			Kind:    "lookup",
			Budget:  100 * time.Millisecond,
			Took:    40 * time.Millisecond,
			Outcome: zlquery.OutcomeDone,
			Missing: []zlquery.Missing{
				{
					Shard: 2,
				},
			},
			Decisions: []zltrace.Decision{
				{
					Kind:   zltrace.KindPlan,
					Shards: 4,
				},
				{
					Kind:  zltrace.KindNoHedge,
					Shard: 2,
					At:    20 * time.Millisecond,
				},
				{
					Kind: zltrace.KindSufficient,
				},
			},
		})
	})
	if len(lines) != 2 {
		t.Fatalf("got lines %v, want 2", lines)
	}
	held, end := lines[0], lines[1]
	if held["event"] != "held" || held["service"] != "finder/2" || held["waitedMs"] != 20.0 {
		t.Errorf("got line %v, want a held send to finder/2 after 20 ms", held)
	}
	if end["event"] != "answered" || end["parts"] != 3.0 || end["missing"] != 1.0 || end["early"] != "enough" ||
		end["route"] != "finder/lookup" || end["leftMs"] != 60.0 || end["absent"].([]any)[0] != "finder/2" {
		t.Errorf("got line %v, want an answer with 3 parts, 60 ms left and finder/2 absent", end)
	}
}

// TestBeliefsAndDependenciesHaveLines checks that changes of an upstream's state, of the
// platform's availability and of the process itself are recorded.
func TestBeliefsAndDependenciesHaveLines(t *testing.T) {
	lines, _ := runJournal(t, func(j *journal) {
		j.process("start", "dc1")
		j.event(zlevent.Event{
			Kind:    zlevent.KindUpstream,
			Subject: "u1",
			Why:     "warm to cold: slow",
		})
		j.platformTurn(zlplatform.OutageChange{
			Err: errors.New("down"),
		})
		j.platformTurn(zlplatform.OutageChange{
			Duration: 2 * time.Second,
		})
	})
	if len(lines) != 4 || lines[0]["event"] != "process" || lines[1]["event"] != "belief" || lines[1]["name"] != "u1" ||
		lines[2]["event"] != "dependency" || lines[2]["state"] != "lost" || lines[2]["why"] != "down" ||
		lines[3]["state"] != "regained" || lines[3]["outMs"] != 2000.0 {
		t.Fatalf("got lines %v, want process, belief, dependency lost and dependency regained", lines)
	}
}
