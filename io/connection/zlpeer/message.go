package zlpeer

import (
	"math"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxSubs bounds the sub-requests of a batch.
	maxSubs = 4096
	// maxName bounds ids and names, in bytes.
	maxName = 256
	// maxRows bounds the rows of one reply.
	maxRows = 1 << 17
	// maxLeft bounds the time left of a query.
	maxLeft = time.Hour
	// maxPriority is the highest priority.
	maxPriority = 9
	// maxTopic and maxAsk bound a small request, in bytes.
	maxTopic = 64
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxRows,
		MaxMapPairs:      maxSubs,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

type cancelMessage struct {
	Subs []zlunit.SubRequestID `cbor:"1,keyasint"`
}

type repliesMessage struct {
	_       struct{} `cbor:",toarray"`
	Query   zlunit.QueryID
	Replies []replyMessage
}

// replyMessage is a zlquery.Reply as it travels. Exactly one of Done, NotRun
// and Unknown is set.
type replyMessage struct {
	_       struct{} `cbor:",toarray"`
	Sub     zlunit.SubRequestID
	Done    *doneMessage
	NotRun  *notRunMessage
	Unknown *unknownMessage
}

type doneMessage struct {
	_        struct{} `cbor:",toarray"`
	Shard    zlunit.Shard
	Version  zlunit.IndexVersion
	Upstream zlunit.Upstream
	Coverage zlunit.Coverage
	Rows     []string
	Service  time.Duration
}

type notRunMessage struct {
	_          struct{} `cbor:",toarray"`
	Reason     zlquery.Reason
	RetryAfter time.Duration
}

type unknownMessage struct {
	_      struct{} `cbor:",toarray"`
	Reason zlquery.Reason
}

type question struct {
	Topic string `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint"`
}

type reply struct {
	Body  []byte `cbor:"1,keyasint"`
	Fault string `cbor:"2,keyasint,omitempty"`
}

// decodeBatch reads a batch and checks its bounds.
func decodeBatch(data []byte) (*zlquery.Batch, error) {
	var b zlquery.Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, decodeFault(err)
	}
	if err := checkBatch(&b); err != nil {
		return nil, decodeFault(err)
	}
	return &b, nil
}

func checkBatch(b *zlquery.Batch) error {
	switch {
	case len(b.SubRequests) == 0 || len(b.SubRequests) > maxSubs:
		return eris.Errorf("subs: found %d, allowed is 1 to %d", len(b.SubRequests), maxSubs)
	case len(b.Text) > zlquery.MaxText:
		return eris.Errorf("text: found %d bytes, allowed is %d", len(b.Text), zlquery.MaxText)
	case b.Query == "" || max(len(b.Query), len(b.Request), len(b.Service), len(b.Kind)) > maxName:
		return eris.Errorf("query, request, service, kind: allowed is up to %d bytes, and a query", maxName)
	case b.TimeLeft <= 0 || b.TimeLeft > maxLeft:
		return eris.Errorf("left: found %v, allowed is up to %v", b.TimeLeft, maxLeft)
	case b.Priority < 0 || b.Priority > maxPriority:
		return eris.Errorf("priority: found %d, allowed is 0 to %d", b.Priority, maxPriority)
	}
	seen := make(map[zlunit.SubRequestID]bool, len(b.SubRequests))
	for i := range b.SubRequests {
		s := &b.SubRequests[i]
		if seen[s.ID] {
			return eris.Errorf("sub %d stands twice", s.ID)
		}
		if s.Upstream == "" || len(s.Upstream) > maxName {
			return eris.Errorf("sub %d: upstream: allowed is 1 to %d bytes", s.ID, maxName)
		}
		seen[s.ID] = true
	}
	return nil
}

func decodeCancel(data []byte) ([]zlunit.SubRequestID, error) {
	var m cancelMessage
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, decodeFault(err)
	}
	if len(m.Subs) > maxSubs {
		return nil, decodeFault(eris.Errorf("cancel: found %d subs, allowed is %d", len(m.Subs), maxSubs))
	}
	return m.Subs, nil
}

// decodeReplies reads replies. Those that hold no result or several, or one out
// of bounds, are left out and counted in dropped.
func decodeReplies(data []byte) (replies []zlquery.Reply, dropped int, err error) {
	var m repliesMessage
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, 0, decodeFault(err)
	}
	if len(m.Replies) > maxSubs {
		return nil, 0, decodeFault(eris.Errorf("found %d replies, allowed is %d", len(m.Replies), maxSubs))
	}
	replies = make([]zlquery.Reply, 0, len(m.Replies))
	for i := range m.Replies {
		r, ok := decodeReply(m.Query, &m.Replies[i])
		if !ok {
			dropped++
			continue
		}
		replies = append(replies, r)
	}
	return replies, dropped, nil
}

func encodeReply(r *zlquery.Reply) replyMessage {
	m := replyMessage{
		Sub: r.Sub,
	}
	switch result := r.Result.(type) {
	case zlquery.Done:
		m.Done = &doneMessage{
			Shard:    result.Part.Shard,
			Version:  result.Part.Version,
			Upstream: result.Part.Upstream,
			Coverage: result.Part.Coverage,
			Rows:     result.Part.Rows,
			Service:  result.Service,
		}
	case zlquery.NotRun:
		m.NotRun = &notRunMessage{
			Reason:     result.Reason,
			RetryAfter: result.RetryAfter,
		}
	case zlquery.Unknown:
		m.Unknown = &unknownMessage{
			Reason: result.Reason,
		}
	}
	return m
}

// decodeReply reports false for a message that holds no result or several, or
// one out of bounds.
func decodeReply(query zlunit.QueryID, m *replyMessage) (zlquery.Reply, bool) {
	r := zlquery.Reply{
		Query: query,
		Sub:   m.Sub,
	}
	switch {
	case m.Done != nil && m.NotRun == nil && m.Unknown == nil:
		result, ok := m.Done.result()
		r.Result = result
		return r, ok
	case m.Done == nil && m.NotRun != nil && m.Unknown == nil:
		r.Result = zlquery.NotRun{
			Reason:     m.NotRun.Reason,
			RetryAfter: min(max(m.NotRun.RetryAfter, 0), maxLeft),
		}
		return r, okReason(m.NotRun.Reason)
	case m.Done == nil && m.NotRun == nil && m.Unknown != nil:
		r.Result = zlquery.Unknown{
			Reason: m.Unknown.Reason,
		}
		return r, okReason(m.Unknown.Reason)
	default:
		return r, false
	}
}

func okReason(reason zlquery.Reason) bool {
	return reason != zlquery.ReasonNone && len(reason) <= maxName
}

func (m *doneMessage) result() (zlquery.Result, bool) {
	c := float64(m.Coverage)
	if math.IsNaN(c) || c < 0 || c > 1 || len(m.Upstream) > maxName || len(m.Rows) > maxRows || m.Service < 0 {
		return nil, false
	}
	return zlquery.Done{
		Part: zlquery.Part{
			Shard:    m.Shard,
			Version:  m.Version,
			Upstream: m.Upstream,
			Coverage: m.Coverage,
			Rows:     m.Rows,
		},
		Service: m.Service,
	}, true
}
