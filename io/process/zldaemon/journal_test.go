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

// told runs a daemon's journal alone and returns its lines and its metrics.
func told(t *testing.T, note func(j *journal)) (lines []map[string]any, metrics string) {
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
	<-d.journal.ended
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		m := map[string]any{}
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		lines = append(lines, m)
	}
	var text bytes.Buffer
	if err := d.metrics.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	return lines, text.String()
}

// reasons are all that zlquery knows.
func reasons(t *testing.T) []zlquery.Reason {
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
		t.Fatalf("%d reasons found", len(list))
	}
	return list
}

// Each refusal, retry, failure and second send that was not made has its line and
// its counter, whatever its reason.
func TestEveryDecisionHasALineAndACounter(t *testing.T) {
	for _, r := range reasons(t) {
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
			lines, metrics := told(t, func(j *journal) {
				j.Keep(trace)
			})
			line := lines[0]
			if line["event"] != name || line["reason"] != string(r) || line["request"] != "r-1" {
				t.Errorf("%s %s: line %v", name, r, line)
			}
			if name == "sent" && (line["from"] != "u1" || line["to"] != "u2") {
				t.Errorf("%s: line %v", r, line)
			}
			if !strings.Contains(metrics, "zinnialock."+name+"{reason=\""+string(r)+"\"} 1") {
				t.Errorf("%s %s: metrics %s", name, r, metrics)
			}
		}
	}
}

// An answer without a part says which one, why it was not awaited, and what was
// wanted and not sent.
func TestAnswerWithoutAPartIsExplained(t *testing.T) {
	lines, _ := told(t, func(j *journal) {
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
		t.Fatalf("lines %v", lines)
	}
	held, end := lines[0], lines[1]
	if held["event"] != "held" || held["service"] != "finder/2" || held["waitedMs"] != 20.0 {
		t.Errorf("line %v", held)
	}
	if end["event"] != "answered" || end["parts"] != 3.0 || end["missing"] != 1.0 || end["early"] != "enough" ||
		end["route"] != "finder/lookup" || end["leftMs"] != 60.0 || end["absent"].([]any)[0] != "finder/2" {
		t.Errorf("line %v", end)
	}
}

// Changed beliefs, the platform, and the process itself have lines.
func TestBeliefsAndDependenciesHaveLines(t *testing.T) {
	lines, _ := told(t, func(j *journal) {
		j.process("start", "dc1")
		j.event(zlevent.Event{
			Kind:    zlevent.KindUpstream,
			Subject: "u1",
			Why:     "warm to cold: slow",
		})
		j.turned(zlplatform.Turn{
			Err: errors.New("down"),
		})
		j.turned(zlplatform.Turn{
			Out: 2 * time.Second,
		})
	})
	if len(lines) != 4 || lines[0]["event"] != "process" || lines[1]["event"] != "belief" || lines[1]["name"] != "u1" ||
		lines[2]["event"] != "dependency" || lines[2]["state"] != "lost" || lines[2]["why"] != "down" ||
		lines[3]["state"] != "regained" || lines[3]["outMs"] != 2000.0 {
		t.Fatalf("lines %v", lines)
	}
}
