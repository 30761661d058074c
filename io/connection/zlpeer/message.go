package zlpeer

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// toServer is a message of the dialling side of a batch stream.
type toServer struct {
	Batch  *zlquery.Batch `cbor:"1,keyasint,omitempty"`
	Cancel *zlunit.SubID  `cbor:"2,keyasint,omitempty"`
}

// replyMessage is a zlquery.Reply as it travels. Exactly one of Done, NotRun
// and Unknown is set.
type replyMessage struct {
	Query   zlunit.QueryID  `cbor:"1,keyasint"`
	Sub     zlunit.SubID    `cbor:"2,keyasint"`
	Done    *doneMessage    `cbor:"3,keyasint,omitempty"`
	NotRun  *notRunMessage  `cbor:"4,keyasint,omitempty"`
	Unknown *unknownMessage `cbor:"5,keyasint,omitempty"`
}

type doneMessage struct {
	Shard    zlunit.Shard        `cbor:"1,keyasint"`
	Version  zlunit.IndexVersion `cbor:"2,keyasint"`
	Upstream zlunit.Upstream     `cbor:"3,keyasint"`
	Coverage zlunit.Coverage     `cbor:"4,keyasint"`
	Rows     []string            `cbor:"5,keyasint"`
	Service  time.Duration       `cbor:"6,keyasint"`
}

type notRunMessage struct {
	Reason     zlquery.Reason `cbor:"1,keyasint"`
	RetryAfter time.Duration  `cbor:"2,keyasint,omitempty"`
}

type unknownMessage struct {
	Reason zlquery.Reason `cbor:"1,keyasint"`
}

func encodeReply(r zlquery.Reply) replyMessage {
	m := replyMessage{
		Query: r.Query,
		Sub:   r.Sub,
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

// decodeReply reports false for a message that holds no result or several.
func decodeReply(m *replyMessage) (zlquery.Reply, bool) {
	r := zlquery.Reply{
		Query: m.Query,
		Sub:   m.Sub,
	}
	n := 0
	if m.Done != nil {
		n++
		r.Result = zlquery.Done{
			Part: zlquery.Part{
				Shard:    m.Done.Shard,
				Version:  m.Done.Version,
				Upstream: m.Done.Upstream,
				Coverage: m.Done.Coverage,
				Rows:     m.Done.Rows,
			},
			Service: m.Done.Service,
		}
	}
	if m.NotRun != nil {
		n++
		r.Result = zlquery.NotRun{
			Reason:     m.NotRun.Reason,
			RetryAfter: m.NotRun.RetryAfter,
		}
	}
	if m.Unknown != nil {
		n++
		r.Result = zlquery.Unknown{
			Reason: m.Unknown.Reason,
		}
	}
	return r, n == 1
}
