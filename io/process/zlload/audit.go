package zlload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/standin/zlfakeupstream"

	"github.com/rotisserie/eris"
)

// LeavingGrace is how long a leaving upstream may still receive new work.
const LeavingGrace = 3 * time.Second

// Auditor reads the counts that the upstream stand-ins keep themselves.
type Auditor struct {
	Catalogs *Catalogs
	HTTP     *http.Client
}

// Snapshot is the counts of every upstream at one moment.
type Snapshot struct {
	counts   map[zlunit.Upstream]zlfakeupstream.Counts
	services map[zlunit.Upstream]zlunit.Service
	catalogs *Catalogs
}

// auditors bounds how many upstreams are asked at once.
const auditors = 16

// each calls f for every upstream, some at once, and returns the first error.
func (a *Auditor) each(f func(*zlcatalog.Catalog, zlcatalog.Upstream) error) error {
	gate := make(chan struct{}, auditors)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, c := range a.Catalogs.Services() {
		for _, u := range c.Upstreams {
			gate <- struct{}{}
			wg.Go(func() {
				defer func() { <-gate }()
				if err := f(c, u); err != nil {
					mu.Lock()
					defer mu.Unlock()
					first = err
				}
			})
		}
	}
	wg.Wait()
	return first
}

// Read takes a snapshot; an upstream that cannot be read is an error.
func (a *Auditor) Read(ctx context.Context) (Snapshot, error) {
	s := Snapshot{
		counts:   map[zlunit.Upstream]zlfakeupstream.Counts{},
		services: map[zlunit.Upstream]zlunit.Service{},
		catalogs: a.Catalogs,
	}
	var mu sync.Mutex
	err := a.each(func(c *zlcatalog.Catalog, u zlcatalog.Upstream) error {
		var counts zlfakeupstream.Counts
		if err := a.call(ctx, http.MethodGet, u.Address, "/control/counts", nil, &counts); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		s.counts[u.Name] = counts
		s.services[u.Name] = c.Service
		return nil
	})
	return s, err
}

// Runs returns how often each of the requests ran, by shard, summed over the
// upstreams of its service.
func (a *Auditor) Runs(ctx context.Context, entries []*Entry) (map[zlunit.RequestID]RunCount, error) {
	byService := map[zlunit.Service][]zlunit.RequestID{}
	for _, e := range entries {
		s := e.Request.Service
		byService[s] = append(byService[s], e.Request.RequestID)
	}
	out := allRuns{}
	var mu sync.Mutex
	err := a.each(func(c *zlcatalog.Catalog, u zlcatalog.Upstream) error {
		for ids := range slices.Chunk(byService[c.Service], maxAsked) {
			var runs map[zlunit.RequestID]RunCount
			if err := a.call(ctx, http.MethodPost, u.Address, "/control/runs", ids, &runs); err != nil {
				return err
			}
			mu.Lock()
			for id, shards := range runs {
				out.add(id, shards)
			}
			mu.Unlock()
		}
		return nil
	})
	return out, err
}

// maxAsked bounds how many requests an upstream is asked about at once.
const maxAsked = 1000

// allRuns is the runs of requests, summed over upstreams.
type allRuns map[zlunit.RequestID]RunCount

func (r allRuns) add(id zlunit.RequestID, shards RunCount) {
	if r[id] == nil {
		r[id] = RunCount{}
	}
	for shard, n := range shards {
		r[id][shard] += n
	}
}

func (a *Auditor) call(ctx context.Context, method, address, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := a.HTTP.Do(r)
	if err != nil {
		return eris.Wrap(err, "audit")
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("audit: %s%s: status %d", address, path, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "audit: %s%s", address, path)
}

// Since lists what the counts show against the promises since an earlier
// snapshot, and returns how many sub-requests upstreams received since.
func (s Snapshot) Since(before Snapshot) (faults []string, received int64) {
	for name, now := range s.counts {
		was := before.counts[name]
		received += now.Received - was.Received
		known := func(v zlunit.IndexVersion) bool {
			return s.catalogs.Known(s.services[name], v)
		}
		for _, text := range countFaults(was, now, known) {
			faults = append(faults, fmt.Sprintf("upstream %s: %s", name, text))
		}
	}
	sort.Strings(faults)
	return faults, received
}

func countFaults(was, now zlfakeupstream.Counts, known func(zlunit.IndexVersion) bool) []string {
	var out []string
	say := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...))
	}
	if now.ColdPeak > int(now.ColdLimit) && now.ColdPeak > was.ColdPeak {
		say("%d in flight while cold, limit %d", now.ColdPeak, now.ColdLimit)
	}
	if now.RefusedConns > was.RefusedConns {
		say("%d connections beyond its cap", now.RefusedConns-was.RefusedConns)
	}
	for _, id := range now.Doubled[min(len(was.Doubled), len(now.Doubled)):] {
		say("request %s ran twice", id)
	}
	if late := now.LastReceived.Sub(now.LeftAt); !now.LeftAt.IsZero() && late > LeavingGrace {
		say("received work %v after it began to leave", late.Round(time.Millisecond))
	}
	for version, n := range now.Versions {
		if n > was.Versions[version] && !known(version) {
			say("served version %d, which the catalogue does not have", version)
		}
	}
	return out
}
