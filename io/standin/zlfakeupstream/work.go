package zlfakeupstream

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlupcall"
	"zinnialock/io/standin/zlcorpus"
)

// maxQuery bounds the body of a query, in bytes.
const maxQuery = 1 << 20

func (u *Upstream) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q zlupcall.Query
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuery)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, reason := u.arrive(r, &q)
	if l == nil {
		// The process that the connection led to is gone.
		panic(http.ErrAbortHandler)
	}
	if reason != zlquery.ReasonNone {
		u.refuse(w, l, reason)
		return
	}
	defer u.leave(l)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMs)*time.Millisecond)
	defer cancel()
	if !u.takeSlot(ctx, l) {
		u.refuse(w, l, zlquery.ReasonDeadline)
		return
	}
	if !u.work(ctx, l, &q) {
		return
	}
	u.answer(w, l, &q)
}

// arrive counts a request and decides whether it is taken. The life is nil if
// the connection is one of an earlier process.
func (u *Upstream) arrive(r *http.Request, q *zlupcall.Query) (*life, zlquery.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok || c.life != u.life {
		return nil, zlquery.ReasonConnectionReset
	}
	l := u.life
	u.counts.Received++
	u.counts.LastReceived = time.Now()
	if !u.leftAt.IsZero() {
		u.counts.AfterLeaving++
	}
	if reason := u.refusal(l, q); reason != zlquery.ReasonNone {
		return l, reason
	}
	l.inFlight++
	u.counts.Peak = max(u.counts.Peak, l.inFlight)
	if u.cold > 0 {
		u.counts.ColdPeak = max(u.counts.ColdPeak, l.inFlight)
	}
	return l, zlquery.ReasonNone
}

// refusal tells why a request is not taken, if so; mu is held.
func (u *Upstream) refusal(l *life, q *zlupcall.Query) zlquery.Reason {
	if u.Settings.Draining {
		return zlquery.ReasonDraining
	}
	if u.random.Float64() < u.Settings.ShedShare || len(l.waiting) >= u.Settings.QueueLimit {
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

func (u *Upstream) leave(l *life) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l.inFlight--
}

// takeSlot waits for a slot, first come first served.
func (u *Upstream) takeSlot(ctx context.Context, l *life) bool {
	u.mu.Lock()
	if l.running < int(u.Settings.Slots) {
		l.running++
		u.noteLoad()
		u.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	u.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(l.waiting, turn); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		return false
	}
	u.passSlot(l)
	return false
}

// passSlot hands a slot to the next in line; mu is held.
func (u *Upstream) passSlot(l *life) {
	if len(l.waiting) == 0 {
		l.running--
		u.noteLoad()
		return
	}
	turn := l.waiting[0]
	l.waiting = l.waiting[1:]
	close(turn)
}

// work holds the slot for the service time and reports whether it finished.
func (u *Upstream) work(ctx context.Context, l *life, q *zlupcall.Query) bool {
	timer := time.NewTimer(u.begin(q))
	defer timer.Stop()
	finished := true
	select {
	case <-timer.C:
	case <-ctx.Done():
		finished = false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.passSlot(l)
	if !finished {
		u.counts.Cancelled++
		return false
	}
	u.counts.Done++
	u.counts.Versions[q.Version]++
	if l == u.life {
		u.cold = max(u.cold-1, 0)
	}
	return true
}

// coldTimes is how much longer a cold upstream takes.
const coldTimes = 3

// begin counts a run and draws its service time.
func (u *Upstream) begin(q *zlupcall.Query) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noteRun(q)
	ms := u.Settings.ServiceMs * (0.5 + u.random.Float64())
	if u.random.Float64() < u.Settings.StraggleShare {
		ms *= u.Settings.StraggleTimes
	}
	if u.cold > 0 {
		ms *= coldTimes
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (u *Upstream) identity(l *life) zlunit.Process {
	if u.Settings.Anonymous {
		return ""
	}
	return l.process
}

func (u *Upstream) answer(w http.ResponseWriter, l *life, q *zlupcall.Query) {
	u.mu.Lock()
	rows := zlupcall.Rows{
		QueryID:  q.QueryID,
		Upstream: u.Settings.Name,
		Process:  u.identity(l),
		Shard:    q.Shard,
		Version:  q.Version,
		Coverage: 1,
		Rows:     zlcorpus.Rows(u.Settings.Service, q.Version, q.Shard, q.Text),
	}
	if u.Settings.PartCoverage > 0 {
		rows.Coverage = u.Settings.PartCoverage
	}
	u.mu.Unlock()
	reply(w, rows)
}

func (u *Upstream) refuse(w http.ResponseWriter, l *life, reason zlquery.Reason) {
	u.mu.Lock()
	process := u.identity(l)
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(zlupcall.Refusal{
		Reason:  reason,
		Process: process,
	})
}
