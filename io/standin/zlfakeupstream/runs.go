package zlfakeupstream

import (
	"encoding/json"
	"maps"
	"net/http"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/request/zlupstreamclient"
)

// maxRecentRequests is the number of idempotent requests per generation; at least
// that many of the latest ones are remembered.
const maxRecentRequests = 50_000

// shardRuns holds the number of runs of each shard of one request.
type shardRuns map[zlunit.Shard]int

// runCounter counts runs by request id. It keeps all non-idempotent requests,
// because none of them may run twice, and two generations of idempotent ones, to
// bound memory.
type runCounter struct {
	nonIdempotent map[zlunit.RequestID]shardRuns
	recent        map[zlunit.RequestID]shardRuns
	older         map[zlunit.RequestID]shardRuns
}

// add counts a run and returns the number of runs of that shard of the request.
func (r *runCounter) add(q *zlupstreamclient.Query) int {
	if r.nonIdempotent == nil {
		r.nonIdempotent = map[zlunit.RequestID]shardRuns{}
		r.recent = map[zlunit.RequestID]shardRuns{}
	}
	if q.Idempotent && len(r.recent) >= maxRecentRequests {
		r.older = r.recent
		r.recent = map[zlunit.RequestID]shardRuns{}
	}
	counts := r.nonIdempotent
	if q.Idempotent {
		counts = r.recent
	}
	if counts[q.RequestID] == nil {
		counts[q.RequestID] = shardRuns{}
	}
	counts[q.RequestID][q.Shard]++
	return counts[q.RequestID][q.Shard]
}

// lookup returns the runs of a request, empty if none are known.
func (r *runCounter) lookup(id zlunit.RequestID) shardRuns {
	out := shardRuns{}
	for _, counts := range []map[zlunit.RequestID]shardRuns{r.nonIdempotent, r.recent, r.older} {
		for shard, n := range counts[id] {
			out[shard] += n
		}
	}
	return out
}

// recordRun counts the start of a run; mu must be held.
func (u *Upstream) recordRun(q *zlupstreamclient.Query) {
	if n := u.runs.add(q); n == 2 && !q.Idempotent {
		u.counts.RepeatedRuns = append(u.counts.RepeatedRuns, q.RequestID)
	}
}

// Runs returns the number of runs of each shard of a request. Non-idempotent
// requests are counted since Run, idempotent ones only while they are remembered.
func (u *Upstream) Runs(request zlunit.RequestID) map[zlunit.Shard]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs.lookup(request))
}

// maxIDListBytes bounds the JSON list of request ids, in bytes.
const maxIDListBytes = 4 << 20

// serveRunsByID reads a JSON list of request ids and replies with the runs by id
// and shard, leaving out requests that did not run.
func (u *Upstream) serveRunsByID(w http.ResponseWriter, r *http.Request) {
	var ids []zlunit.RequestID
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxIDListBytes)).Decode(&ids); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := map[zlunit.RequestID]shardRuns{}
	u.mu.Lock()
	for _, id := range ids {
		if ran := u.runs.lookup(id); len(ran) > 0 {
			out[id] = ran
		}
	}
	u.mu.Unlock()
	writeJSON(w, out)
}
