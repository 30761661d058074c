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

// faultyTier serves as daemon and upstream in one, and violates an invariant if
// one of its flags is set.
type faultyTier struct {
	mu       sync.Mutex
	runs     map[zlunit.RequestID]int
	received int64
	// refuseAndRun makes it run requests and refuse them as not run.
	refuseAndRun bool
	// dropFirstReply makes it drop the first reply to each request, so that the
	// caller retries and the request runs twice.
	dropFirstReply bool
}

func (f *faultyTier) query(out http.ResponseWriter, r *http.Request) {
	in, _ := zlfront.Decode(r.Body)
	f.mu.Lock()
	f.runs[in.RequestID]++
	f.received++
	first := f.runs[in.RequestID] == 1
	f.mu.Unlock()
	if f.dropFirstReply && first {
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
	if f.refuseAndRun {
		refuse(zlquery.OutcomeNotRun, zlquery.ReasonShed, zlfront.RanNo)(a)
		a.RequestID = in.RequestID
	}
	_ = json.NewEncoder(out).Encode(a)
}

func (f *faultyTier) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+zlfront.Path, f.query)
	mux.HandleFunc("GET /control/counts", func(out http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = json.NewEncoder(out).Encode(zlfakeupstream.Counts{
			Received: f.received,
		})
	})
	mux.HandleFunc("POST /control/runs", func(out http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		var ids []zlunit.RequestID
		_ = json.NewDecoder(r.Body).Decode(&ids)
		reply := runCounts{}
		for _, id := range ids {
			if n := f.runs[id]; n > 0 {
				reply.add(id, RunCount{
					0: n,
				})
			}
		}
		_ = json.NewEncoder(out).Encode(reply)
	})
	return mux
}

func testCatalogs(address string) *CatalogCache {
	c := &CatalogCache{
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

// runLoad sends 20 requests to tier, a fraction onceShare of them not idempotent.
func runLoad(t *testing.T, tier *faultyTier, onceShare float64) (Summary, []Point) {
	t.Helper()
	tier.runs = map[zlunit.RequestID]int{}
	server := httptest.NewServer(tier.handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	l := &Load{
		Targets:            []string{address},
		Rate:               200,
		Duration:           100 * time.Millisecond,
		Seed:               1,
		NonIdempotentShare: onceShare,
		Mix: []QueryShape{
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

func TestLoadAgainstCorrectTier(t *testing.T) {
	s, points := runLoad(t, &faultyTier{}, 0.5)
	if s.Sent != 20 || s.Answered != 20 || len(s.Violations) > 0 || s.ExtraLoad != 0 || s.CoverageMin != 1 {
		t.Fatalf("got summary %+v", s)
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
		t.Fatalf("plot: got no PNG at least 500 pixels wide: %v", err)
	}
}

func TestLoadReportsRefusedRequestThatRan(t *testing.T) {
	s, _ := runLoad(t, &faultyTier{
		refuseAndRun: true,
	}, 0)
	if s.Refused != 20 || len(s.Violations) != 20 || !strings.Contains(s.Violations[0], "refused as not run") {
		t.Fatalf("got summary %+v", s)
	}
}

func TestLoadReportsRequestThatRanTwice(t *testing.T) {
	s, _ := runLoad(t, &faultyTier{
		dropFirstReply: true,
	}, 1)
	if s.NoReply != 20 || s.CallerRetries != 20 || len(s.Violations) != 20 || !strings.Contains(s.Violations[0], "ran 2 times") {
		t.Fatalf("got summary %+v", s)
	}
	if s.ExtraLoad != 1 {
		t.Fatalf("got extra load %v, want 1: the upstreams received 40 sub-requests for 20 parts", s.ExtraLoad)
	}
}
