package zlfakeupstream

import (
	"encoding/json"
	"maps"
	"net/http"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/request/zlupcall"
)

// maxRecent bounds how many idempotent requests are remembered at least.
const maxRecent = 50_000

// shardRuns counts the runs of each shard of one request.
type shardRuns map[zlunit.Shard]int

// runs counts runs by request: of those that are not idempotent all, of others
// the recent ones.
type runs struct {
	once   map[zlunit.RequestID]shardRuns
	recent map[zlunit.RequestID]shardRuns
	older  map[zlunit.RequestID]shardRuns
}

// note counts a run and returns how often that shard of the request ran.
func (r *runs) note(q *zlupcall.Query) int {
	if r.once == nil {
		r.once = map[zlunit.RequestID]shardRuns{}
		r.recent = map[zlunit.RequestID]shardRuns{}
	}
	if q.Idempotent && len(r.recent) >= maxRecent {
		r.older = r.recent
		r.recent = map[zlunit.RequestID]shardRuns{}
	}
	in := r.once
	if q.Idempotent {
		in = r.recent
	}
	if in[q.RequestID] == nil {
		in[q.RequestID] = shardRuns{}
	}
	in[q.RequestID][q.Shard]++
	return in[q.RequestID][q.Shard]
}

func (r *runs) of(id zlunit.RequestID) shardRuns {
	out := shardRuns{}
	for _, in := range []map[zlunit.RequestID]shardRuns{r.once, r.recent, r.older} {
		for shard, n := range in[id] {
			out[shard] += n
		}
	}
	return out
}

// noteRun counts the start of a run; mu is held.
func (u *Upstream) noteRun(q *zlupcall.Query) {
	if n := u.runs.note(q); n == 2 && !q.Idempotent {
		u.counts.Doubled = append(u.counts.Doubled, q.RequestID)
	}
}

// Runs returns how often each shard of a request ran: of one that is not
// idempotent since the start, of another while it is remembered.
func (u *Upstream) Runs(request zlunit.RequestID) map[zlunit.Shard]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs.of(request))
}

// maxAsked bounds a list of request ids, in bytes.
const maxAsked = 4 << 20

// serveRunsOf takes a JSON list of request ids and returns the runs of each
// that ran, by id and shard.
func (u *Upstream) serveRunsOf(w http.ResponseWriter, r *http.Request) {
	var ids []zlunit.RequestID
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAsked)).Decode(&ids); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := map[zlunit.RequestID]shardRuns{}
	u.mu.Lock()
	for _, id := range ids {
		if ran := u.runs.of(id); len(ran) > 0 {
			out[id] = ran
		}
	}
	u.mu.Unlock()
	reply(w, out)
}
