package zlfakeupstream

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlupstreamclient"
	"zinnialock/io/standin/zlcorpus"
)

// maxBodyBytes bounds the body of a query or of a settings update, in bytes.
const maxBodyBytes = 1 << 20

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q zlupstreamclient.Query
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	inc, reason := u.admitRequest(r, &q)
	if inc == nil {
		// The incarnation that accepted the connection has ended, so the
		// connection breaks without a reply.
		panic(http.ErrAbortHandler)
	}
	if reason != zlquery.ReasonNone {
		u.writeRefusal(w, inc, reason)
		return
	}
	defer u.finishRequest(inc)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMs)*time.Millisecond)
	defer cancel()
	if !u.acquireSlot(ctx, inc) {
		u.writeRefusal(w, inc, zlquery.ReasonDeadline)
		return
	}
	if !u.runQuery(ctx, inc, &q) {
		return
	}
	u.writeRows(w, inc, &q)
}

// admitRequest counts a request and returns the incarnation that handles it and
// the reason of a refusal, if any. The incarnation is nil if an earlier one
// accepted the connection.
func (u *Upstream) admitRequest(r *http.Request, q *zlupstreamclient.Query) (*incarnation, zlquery.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok || c.incarnation != u.current {
		return nil, zlquery.ReasonConnectionReset
	}
	inc := u.current
	u.counts.Received++
	u.counts.LastReceived = time.Now()
	if !u.leftAt.IsZero() {
		u.counts.AfterLeaving++
	}
	if reason := u.refusalReason(inc, q); reason != zlquery.ReasonNone {
		return inc, reason
	}
	inc.inFlight++
	u.counts.Peak = max(u.counts.Peak, inc.inFlight)
	if u.coldWorkLeft > 0 {
		u.counts.ColdPeak = max(u.counts.ColdPeak, inc.inFlight)
	}
	return inc, zlquery.ReasonNone
}

// refusalReason returns why a request is refused, or ReasonNone; mu must be held.
func (u *Upstream) refusalReason(inc *incarnation, q *zlupstreamclient.Query) zlquery.Reason {
	if u.Settings.Draining {
		return zlquery.ReasonDraining
	}
	if u.random.Float64() < u.Settings.ShedShare || len(inc.waiting) >= u.Settings.QueueLimit {
		u.counts.Shed++
		return zlquery.ReasonShed
	}
	held, ok := u.Settings.Shards[q.Version]
	if !ok {
		return zlquery.ReasonVersionGone
	}
	if !slices.Contains(held, q.Shard) {
		return zlquery.ReasonShardGone
	}
	return zlquery.ReasonNone
}

// finishRequest counts an admitted request as no longer in flight.
func (u *Upstream) finishRequest(inc *incarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	inc.inFlight--
}

// acquireSlot waits for a slot in order of arrival and reports whether it got one
// before the context ended.
func (u *Upstream) acquireSlot(ctx context.Context, inc *incarnation) bool {
	u.mu.Lock()
	if inc.running < int(u.Settings.Slots) {
		inc.running++
		u.recordLoad()
		u.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	inc.waiting = append(inc.waiting, granted)
	u.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(inc.waiting, granted); i >= 0 {
		inc.waiting = slices.Delete(inc.waiting, i, i+1)
		return false
	}
	// The slot was granted while the context ended: pass it on.
	u.releaseSlot(inc)
	return false
}

// releaseSlot gives the slot to the first waiting request, or frees it if none
// waits; mu must be held.
func (u *Upstream) releaseSlot(inc *incarnation) {
	if len(inc.waiting) == 0 {
		inc.running--
		u.recordLoad()
		return
	}
	granted := inc.waiting[0]
	inc.waiting = inc.waiting[1:]
	close(granted)
}

// runQuery holds the slot for the service time and reports whether the query
// finished before the context ended.
func (u *Upstream) runQuery(ctx context.Context, inc *incarnation, q *zlupstreamclient.Query) bool {
	timer := time.NewTimer(u.startRun(q))
	defer timer.Stop()
	finished := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		finished = false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.releaseSlot(inc)
	if !finished {
		u.counts.Cancelled++
		return false
	}
	u.counts.Done++
	u.counts.Versions[q.Version]++
	if inc == u.current {
		u.coldWorkLeft = max(u.coldWorkLeft-1, 0)
	}
	return true
}

// coldSlowdown multiplies the service time of a cold upstream.
const coldSlowdown = 3

// startRun counts a run and draws its service time: uniform between half and one
// and a half of ServiceMs, longer for stragglers and while cold.
func (u *Upstream) startRun(q *zlupstreamclient.Query) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordRun(q)
	ms := u.Settings.ServiceMs * (0.5 + u.random.Float64())
	if u.random.Float64() < u.Settings.StraggleShare {
		ms *= u.Settings.StragglerSlowdown
	}
	if u.coldWorkLeft > 0 {
		ms *= coldSlowdown
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// identity returns the process id that replies carry, empty if the upstream is
// anonymous; mu must be held.
func (u *Upstream) identity(inc *incarnation) zlunit.Process {
	if u.Settings.Anonymous {
		return ""
	}
	return inc.process
}

func (u *Upstream) writeRows(w http.ResponseWriter, inc *incarnation, q *zlupstreamclient.Query) {
	u.mu.Lock()
	rows := zlupstreamclient.Reply{
		QueryID:  q.QueryID,
		Upstream: u.Settings.Name,
		Process:  u.identity(inc),
		Shard:    q.Shard,
		Version:  q.Version,
		Coverage: 1,
		Rows:     zlcorpus.Rows(u.Settings.Service, q.Version, q.Shard, q.Text),
	}
	if u.Settings.PartCoverage > 0 {
		rows.Coverage = u.Settings.PartCoverage
	}
	u.mu.Unlock()
	writeJSON(w, rows)
}

func (u *Upstream) writeRefusal(w http.ResponseWriter, inc *incarnation, reason zlquery.Reason) {
	u.mu.Lock()
	process := u.identity(inc)
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(zlupstreamclient.Refusal{
		Reason:  reason,
		Process: process,
	})
}
