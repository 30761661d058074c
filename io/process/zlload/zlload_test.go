package zlload

import (
	"context"
	"encoding/json"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/request/zlfront"
	"zinnialock/io/standin/zlcorpus"
	"zinnialock/io/standin/zlfakeupstream"
)

// wrongTier is a daemon and an upstream in one that breaks a promise.
type wrongTier struct {
	mu       sync.Mutex
	runs     map[zlunit.RequestID]int
	received int64
	// refuseAndRun makes it refuse as not run what it ran; runAgain makes it
	// run every attempt.
	refuseAndRun bool
	runAgain     bool
}

func (w *wrongTier) query(out http.ResponseWriter, r *http.Request) {
	in, _ := zlfront.Decode(r.Body)
	w.mu.Lock()
	w.runs[in.RequestID]++
	w.received++
	first := w.runs[in.RequestID] == 1
	w.mu.Unlock()
	if w.runAgain && first {
		panic(http.ErrAbortHandler)
	}
	a := &zlfront.Answer{
		RequestID: in.RequestID,
		Outcome:   zlquery.OutcomeDone,
		Version:   1,
		Coverage:  1,
		Complete:  true,
		Parts: []zlfront.Part{
			{
				Coverage: 1,
				Rows:     zlcorpus.Rows(in.Service, 1, 0, in.Text),
			},
		},
	}
	if w.refuseAndRun {
		refuse(zlquery.OutcomeNotRun, zlquery.ReasonShed, zlfront.RanNo)(a)
		a.RequestID = in.RequestID
	}
	_ = json.NewEncoder(out).Encode(a)
}

func (w *wrongTier) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+zlfront.Path, w.query)
	mux.HandleFunc("GET /control/counts", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(out).Encode(zlfakeupstream.Counts{
			Received: w.received,
		})
	})
	mux.HandleFunc("POST /control/runs", func(out http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		var ids []zlunit.RequestID
		_ = json.NewDecoder(r.Body).Decode(&ids)
		reply := allRuns{}
		for _, id := range ids {
			if n := w.runs[id]; n > 0 {
				reply.add(id, RunCount{
					0: n,
				})
			}
		}
		_ = json.NewEncoder(out).Encode(reply)
	})
	return mux
}

func testCatalogs(address string) *Catalogs {
	c := &Catalogs{
		services: map[zlunit.Service]*zlcatalog.Catalog{},
		shards:   map[versionKey]int{},
	}
	c.add(&zlcatalog.Catalog{
		Service: "s",
		Upstreams: []zlcatalog.Upstream{
			{
				Name:    "u",
				Address: address,
			},
		},
		Versions: []zlcatalog.Version{
			{
				Number: 1,
				Shards: [][]zlunit.Upstream{{"u"}},
			},
		},
	})
	return c
}

// play sends 20 requests to a tier.
func play(t *testing.T, w *wrongTier, once float64) (Summary, []Point) {
	t.Helper()
	w.runs = map[zlunit.RequestID]int{}
	server := httptest.NewServer(w.handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	l := &Load{
		Targets:   []string{address},
		Rate:      200,
		Duration:  100 * time.Millisecond,
		Seed:      1,
		OnceShare: once,
		Mix: []Shape{
			{
				Service:  "s",
				Weight:   1,
				Deadline: time.Minute,
			},
		},
		Checker: &Checker{
			Shards: func(zlunit.Service, zlunit.IndexVersion) int { return 1 },
		},
		Auditor: &Auditor{
			HTTP:     server.Client(),
			Catalogs: testCatalogs(address),
		},
	}
	s, points, err := l.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s, points
}

func TestLoadAgainstARightTier(t *testing.T) {
	s, points := play(t, &wrongTier{}, 0.5)
	if s.Sent != 20 || s.Answered != 20 || len(s.Violations) > 0 || s.ExtraLoad != 0 || s.CoverageMin != 1 {
		t.Fatalf("got %+v", s)
	}
	path := filepath.Join(t.TempDir(), "plot.png")
	if err := WritePlot(path, points); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if img, err := png.Decode(f); err != nil || img.Bounds().Dx() < 500 {
		t.Fatalf("the plot is not a PNG of a useful size: %v", err)
	}
}

func TestLoadFindsARefusedRequestThatRan(t *testing.T) {
	s, _ := play(t, &wrongTier{
		refuseAndRun: true,
	}, 0)
	if s.Refused != 20 || len(s.Violations) != 20 || !strings.Contains(s.Violations[0], "refused as not run") {
		t.Fatalf("got %+v", s)
	}
}

func TestLoadFindsADoubledRun(t *testing.T) {
	s, _ := play(t, &wrongTier{
		runAgain: true,
	}, 1)
	if s.Cut != 20 || s.Again != 20 || len(s.Violations) != 20 || !strings.Contains(s.Violations[0], "ran 2 times") {
		t.Fatalf("got %+v", s)
	}
	if s.ExtraLoad != 1 {
		t.Fatalf("extra load is %v, the upstreams counted 40 for 20 parts", s.ExtraLoad)
	}
}
