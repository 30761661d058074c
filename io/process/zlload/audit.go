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

// LeavingGrace is how long an upstream that leaves may still receive new
// sub-requests.
const LeavingGrace = 3 * time.Second

// Auditor reads the counts that the upstream stand-ins keep. Its methods are
// safe for concurrent use.
type Auditor struct {
	// Catalogs lists the upstreams to read; it must have been read before.
	Catalogs *CatalogCache
	HTTP     *http.Client
}

// Snapshot holds the counts of every upstream at one time.
type Snapshot struct {
	counts   map[zlunit.Upstream]zlfakeupstream.Counts
	services map[zlunit.Upstream]zlunit.Service
	catalogs *CatalogCache
}

// maxConcurrentReads limits how many upstreams are queried at the same time.
const maxConcurrentReads = 16

// forEachUpstream calls f for every upstream, up to maxConcurrentReads at the
// same time, and returns one of the errors.
func (a *Auditor) forEachUpstream(f func(*zlcatalog.Catalog, zlcatalog.Upstream) error) error {
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lastErr error
	for _, c := range a.Catalogs.Services() {
		for _, u := range c.Upstreams {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				if err := f(c, u); err != nil {
					mu.Lock()
					defer mu.Unlock()
					lastErr = err
				}
			})
		}
	}
	wg.Wait()
	return lastErr
}

// Read takes a snapshot. It fails if any upstream cannot be read.
func (a *Auditor) Read(ctx context.Context) (Snapshot, error) {
	s := Snapshot{
		counts:   map[zlunit.Upstream]zlfakeupstream.Counts{},
		services: map[zlunit.Upstream]zlunit.Service{},
		catalogs: a.Catalogs,
	}
	var mu sync.Mutex
	err := a.forEachUpstream(func(c *zlcatalog.Catalog, u zlcatalog.Upstream) error {
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

// Runs returns how often each request ran on each shard, summed over the
// upstreams of its service. Requests that never ran are absent.
func (a *Auditor) Runs(ctx context.Context, entries []*Entry) (map[zlunit.RequestID]RunCount, error) {
	byService := map[zlunit.Service][]zlunit.RequestID{}
	for _, e := range entries {
		s := e.Request.Service
		byService[s] = append(byService[s], e.Request.RequestID)
	}
	out := runCounts{}
	var mu sync.Mutex
	err := a.forEachUpstream(func(c *zlcatalog.Catalog, u zlcatalog.Upstream) error {
		for ids := range slices.Chunk(byService[c.Service], maxIDsPerRunsQuery) {
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

// maxIDsPerRunsQuery limits the size of one query to an upstream.
const maxIDsPerRunsQuery = 1000

// runCounts holds the run count of each request, summed over upstreams.
type runCounts map[zlunit.RequestID]RunCount

func (r runCounts) add(id zlunit.RequestID, shards RunCount) {
	if r[id] == nil {
		r[id] = RunCount{}
	}
	for shard, n := range shards {
		r[id][shard] += n
	}
}

// call sends body as JSON to an upstream's control interface and decodes the
// reply into the value that into points to.
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

// Compare returns the violations of the invariants since an earlier snapshot, in
// sorted order, and how many sub-requests the upstreams received since then.
func (s Snapshot) Compare(before Snapshot) (faults []string, received int64) {
	for name, now := range s.counts {
		earlier := before.counts[name]
		received += now.Received - earlier.Received
		known := func(v zlunit.IndexVersion) bool {
			return s.catalogs.Known(s.services[name], v)
		}
		for _, text := range countFaults(earlier, now, known) {
			faults = append(faults, fmt.Sprintf("upstream %s: %s", name, text))
		}
	}
	sort.Strings(faults)
	return faults, received
}

// countFaults returns the violations that one upstream's counts show. known
// reports whether the catalogue has, or had, an index version.
func countFaults(earlier, now zlfakeupstream.Counts, known func(zlunit.IndexVersion) bool) []string {
	var out []string
	addf := func(format string, args ...any) {
		out = append(out, fmt.Sprintf(format, args...))
	}
	if now.ColdPeak > int(now.ColdLimit) && now.ColdPeak > earlier.ColdPeak {
		addf("%d sub-requests in flight while cold, limit %d", now.ColdPeak, now.ColdLimit)
	}
	if now.RefusedConns > earlier.RefusedConns {
		addf("%d connections opened beyond its connection limit", now.RefusedConns-earlier.RefusedConns)
	}
	for _, id := range now.RepeatedRuns[min(len(earlier.RepeatedRuns), len(now.RepeatedRuns)):] {
		addf("request %s ran twice", id)
	}
	if late := now.LastReceived.Sub(now.LeftAt); !now.LeftAt.IsZero() && late > LeavingGrace {
		addf("received sub-requests until %v after it began to leave", late.Round(time.Millisecond))
	}
	for version, n := range now.Versions {
		if n > earlier.Versions[version] && !known(version) {
			addf("served version %d, which the catalogue does not have", version)
		}
	}
	return out
}
