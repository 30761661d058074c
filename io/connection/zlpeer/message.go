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
	// maxSubRequests bounds the sub-requests of a batch.
	maxSubRequests = 4096
	// maxNameBytes bounds ids and names.
	maxNameBytes = 256
	// maxRows bounds the rows of one reply.
	maxRows = 1 << 17
	// maxTimeLeft bounds the time that a query has left.
	maxTimeLeft = time.Hour
	// maxPriority is the highest priority.
	maxPriority = 9
	// maxTopicBytes bounds the topic of a small request.
	maxTopicBytes = 64
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxRows,
		MaxMapPairs:      maxSubRequests,
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

// replyMessage is the encoded form of a zlquery.Reply. Exactly one of Done, NotRun
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

// request is a small request to another daemon.
type request struct {
	Topic string `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint"`
}

// response is the response to a request; Error is empty if the request succeeded.
type response struct {
	Body  []byte `cbor:"1,keyasint"`
	Error string `cbor:"2,keyasint,omitempty"`
}

// decodeBatch decodes a batch and checks its bounds.
func decodeBatch(data []byte) (*zlquery.Batch, error) {
	var b zlquery.Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, decodeError(err)
	}
	if err := checkBatch(&b); err != nil {
		return nil, decodeError(err)
	}
	return &b, nil
}

func checkBatch(b *zlquery.Batch) error {
	switch {
	case len(b.SubRequests) == 0 || len(b.SubRequests) > maxSubRequests:
		return eris.Errorf("sub-requests: found %d, allowed is 1 to %d", len(b.SubRequests), maxSubRequests)
	case len(b.Text) > zlquery.MaxText:
		return eris.Errorf("text: found %d bytes, allowed is %d", len(b.Text), zlquery.MaxText)
	case b.Query == "" || max(len(b.Query), len(b.Request), len(b.Service), len(b.Kind)) > maxNameBytes:
		return eris.Errorf("query, request, service, kind: one is longer than %d bytes, or the query is empty", maxNameBytes)
	case b.TimeLeft <= 0 || b.TimeLeft > maxTimeLeft:
		return eris.Errorf("time left: found %v, allowed is more than 0 and up to %v", b.TimeLeft, maxTimeLeft)
	case b.Priority < 0 || b.Priority > maxPriority:
		return eris.Errorf("priority: found %d, allowed is 0 to %d", b.Priority, maxPriority)
	}
	seen := make(map[zlunit.SubRequestID]bool, len(b.SubRequests))
	for i := range b.SubRequests {
		s := &b.SubRequests[i]
		if seen[s.ID] {
			return eris.Errorf("sub-request %d: duplicate id", s.ID)
		}
		if s.Upstream == "" || len(s.Upstream) > maxNameBytes {
			return eris.Errorf("sub-request %d: upstream: allowed is 1 to %d bytes", s.ID, maxNameBytes)
		}
		seen[s.ID] = true
	}
	return nil
}

func decodeCancel(data []byte) ([]zlunit.SubRequestID, error) {
	var m cancelMessage
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, decodeError(err)
	}
	if len(m.Subs) > maxSubRequests {
		return nil, decodeError(eris.Errorf("cancel: found %d sub-requests, allowed is %d", len(m.Subs), maxSubRequests))
	}
	return m.Subs, nil
}

// decodeReplies decodes replies. Those with no result, with several, or with one
// out of bounds are omitted and counted in dropped.
func decodeReplies(data []byte) (replies []zlquery.Reply, dropped int, err error) {
	var m repliesMessage
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, 0, decodeError(err)
	}
	if len(m.Replies) > maxSubRequests {
		return nil, 0, decodeError(eris.Errorf("replies: found %d, allowed is %d", len(m.Replies), maxSubRequests))
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

// decodeReply reports false for a message with no result, with several, or with
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
			RetryAfter: min(max(m.NotRun.RetryAfter, 0), maxTimeLeft),
		}
		return r, validReason(m.NotRun.Reason)
	case m.Done == nil && m.NotRun == nil && m.Unknown != nil:
		r.Result = zlquery.Unknown{
			Reason: m.Unknown.Reason,
		}
		return r, validReason(m.Unknown.Reason)
	default:
		return r, false
	}
}

func validReason(reason zlquery.Reason) bool {
	return reason != zlquery.ReasonNone && len(reason) <= maxNameBytes
}

func (m *doneMessage) result() (zlquery.Result, bool) {
	c := float64(m.Coverage)
	if math.IsNaN(c) || c < 0 || c > 1 || len(m.Upstream) > maxNameBytes || len(m.Rows) > maxRows || m.Service < 0 {
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
