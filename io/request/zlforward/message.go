package zlforward

import (
	"net/http"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/request/zlstatus"
	"zinnialock/core/version/zltable"

	"github.com/fxamacker/cbor/v2"
)

// request is the encoded form of a zlrelay.Forward.
type request struct {
	Origin zlunit.VM        `cbor:"1,keyasint"`
	ID     zlunit.RequestID `cbor:"2,keyasint"`
	Method string           `cbor:"3,keyasint"`
	Target string           `cbor:"4,keyasint"`
	Path   string           `cbor:"5,keyasint"`
	Host   string           `cbor:"6,keyasint"`
	// Header is an encoded http.Header; see decodeHeader.
	Header cbor.RawMessage `cbor:"7,keyasint,omitempty"`
	Body   []byte          `cbor:"8,keyasint,omitempty"`
	// Waited is the time since the caller's request arrived, Left the time until the
	// caller's deadline, or 0 if there is none, and Transit as in zlrelay.Request.
	Waited   time.Duration   `cbor:"9,keyasint"`
	Left     time.Duration   `cbor:"10,keyasint,omitempty"`
	Transit  time.Duration   `cbor:"11,keyasint,omitempty"`
	Version  zltable.Version `cbor:"12,keyasint"`
	Parts    []part          `cbor:"13,keyasint"`
	MinParts int             `cbor:"14,keyasint"`
	Counted  bool            `cbor:"15,keyasint,omitempty"`
	// Suspected is as in zlrelay.Forward.
	Suspected bool `cbor:"16,keyasint,omitempty"`
	// Organisation is as in zlrelay.Request; the key is not sent. A build that knows no
	// organisations finds the name in Header, where the origin has set it.
	Organisation zlunit.Organisation `cbor:"17,keyasint,omitempty"`
}

type part struct {
	Service    zlunit.Service `cbor:"1,keyasint"`
	Arrivals   int            `cbor:"2,keyasint,omitempty"`
	MayHaveRun int            `cbor:"3,keyasint,omitempty"`
}

// reply is the encoded form of a zlrelay.ForwardReply other than NoReply: one of the
// pointers is set.
type reply struct {
	// ID is that of the request.
	ID       zlunit.RequestID `cbor:"1,keyasint"`
	Version  zltable.Version  `cbor:"2,keyasint,omitempty"`
	Declined *declined        `cbor:"3,keyasint,omitempty"`
	Served   *served          `cbor:"4,keyasint,omitempty"`
	Merged   *merged          `cbor:"5,keyasint,omitempty"`
	Refused  *refused         `cbor:"6,keyasint,omitempty"`
	Failed   *failed          `cbor:"7,keyasint,omitempty"`
}

type declined struct {
	Reason  zldecision.Reason `cbor:"1,keyasint"`
	Serving []zlunit.VM       `cbor:"2,keyasint,omitempty"`
}

type served struct {
	Status    int         `cbor:"1,keyasint"`
	Header    http.Header `cbor:"2,keyasint,omitempty"`
	Body      []byte      `cbor:"3,keyasint,omitempty"`
	Signature string      `cbor:"4,keyasint"`
}

type merged struct {
	Records    []byte           `cbor:"1,keyasint,omitempty"`
	Signatures []string         `cbor:"2,keyasint"`
	Services   []zlunit.Service `cbor:"3,keyasint"`
}

type refused struct {
	Reason     zldecision.Reason `cbor:"1,keyasint"`
	RetryAfter time.Duration     `cbor:"2,keyasint,omitempty"`
}

type failed struct {
	Reason   zldecision.Reason `cbor:"1,keyasint"`
	TimedOut bool              `cbor:"2,keyasint,omitempty"`
	Runs     int               `cbor:"3,keyasint"`
}

const (
	// maxItems bounds the lists of one message, in entries: the shards of the largest
	// supported route.
	maxItems = 4096
	// maxDepth bounds the nesting of a message, in levels.
	maxDepth = 8
	// maxHeaderBytes bounds the encoded header of a request: net/http takes heads of up to 1 MB.
	maxHeaderBytes = 1 << 20
	// headerFactor is what a header takes for each of its encoded bytes at most: an empty value
	// is one byte, and a string of 16 bytes in memory.
	headerFactor = 16
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
		MaxNestedLevels:  maxDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeForward encodes a forward; its times become durations as of now.
func encodeForward(f *zlrelay.Forward, now time.Time) ([]byte, error) {
	m := f.Request.Message
	header, err := encodeHeader(m.Header)
	if err != nil {
		return nil, err
	}
	w := &request{
		Origin:   f.Origin,
		ID:       f.Request.ID,
		Method:   m.Method,
		Target:   m.Target,
		Path:     m.Path,
		Host:     m.Host,
		Header:   header,
		Body:     m.Body,
		Waited:   now.Sub(f.Request.Received),
		Transit:  f.Request.Transit,
		Version:  f.Version,
		MinParts: f.MinParts,
		Counted:  f.Counted,

		Suspected: f.Suspected,

		Organisation: f.Request.Organisation,
	}
	if !f.Request.Deadline.IsZero() {
		w.Left = max(f.Request.Deadline.Sub(now), 1)
	}
	for _, p := range f.Parts {
		w.Parts = append(w.Parts, part(p))
	}
	return cbor.Marshal(w)
}

// encodeHeader encodes the header of a request; an empty one is left out.
func encodeHeader(h http.Header) (cbor.RawMessage, error) {
	if len(h) == 0 {
		return nil, nil
	}
	return cbor.Marshal(h)
}

// decodeHeader decodes the header of a request if the budget of reservation has room for it.
func decodeHeader(data []byte, reservation *zlreadbudget.Reservation) (http.Header, error) {
	if len(data) > maxHeaderBytes || !reservation.Grow(zlreadbudget.Bytes(headerFactor*len(data))) {
		return nil, &Error{
			Op:   "request",
			Kind: KindTooLarge,
		}
	}
	if len(data) == 0 {
		return nil, nil
	}
	var h http.Header
	if err := decoder.Unmarshal(data, &h); err != nil {
		return nil, &Error{
			Op:   "request",
			Kind: KindFormat,
			Err:  err,
		}
	}
	return h, nil
}

// decodeForward decodes a forward that arrived at now. What its header takes is added to
// reservation.
func decodeForward(data []byte, now time.Time, reservation *zlreadbudget.Reservation) (*zlrelay.Forward, error) {
	var r request
	if err := decoder.Unmarshal(data, &r); err != nil {
		return nil, &Error{
			Op:   "request",
			Kind: KindFormat,
			Err:  err,
		}
	}
	if r.Waited < 0 || r.Left < 0 || r.Transit < 0 || r.MinParts < 1 || r.MinParts > len(r.Parts) {
		return nil, &Error{
			Op:   "request",
			Kind: KindFormat,
		}
	}
	header, err := decodeHeader(r.Header, reservation)
	if err != nil {
		return nil, err
	}
	f := &zlrelay.Forward{
		Origin: r.Origin,
		Request: &zlrelay.Request{
			ID: r.ID,
			Message: &zlrelay.Message{
				Method: r.Method,
				Target: r.Target,
				Path:   r.Path,
				Host:   r.Host,
				Header: header,
				Body:   r.Body,
			},
			Organisation: r.Organisation,

			Received: now.Add(-r.Waited),
			Transit:  r.Transit + zlrelay.ForwardTransit,
		},
		Version:  r.Version,
		MinParts: r.MinParts,
		Counted:  r.Counted,

		Suspected: r.Suspected,
	}
	if r.Left > 0 {
		f.Request.Deadline = now.Add(r.Left - zlrelay.ForwardTransit)
	}
	for _, p := range r.Parts {
		if p.Arrivals < 0 || p.MayHaveRun < 0 {
			return nil, &Error{
				Op:   "request",
				Kind: KindFormat,
			}
		}
		f.Parts = append(f.Parts, zlrelay.ForwardPart(p))
	}
	return f, nil
}

// encodeReply encodes the reply to a forward.
func encodeReply(id zlunit.RequestID, r zlrelay.ForwardReply) ([]byte, error) {
	w := &reply{
		ID: id,
	}
	switch r := r.(type) {
	case *zlrelay.Declined:
		w.Declined = &declined{
			Reason:  r.Reason,
			Serving: r.Serving,
		}
	case *zlrelay.Relayed:
		w.Version = r.Version
		w.setAnswer(r.Answer)
	case *zlrelay.NoReply:
	}
	return cbor.Marshal(w)
}

func (w *reply) setAnswer(a zlrelay.Answer) {
	switch a := a.(type) {
	case *zlrelay.Served:
		w.Served = &served{
			Status:    a.Response.Status,
			Header:    a.Response.Header,
			Body:      a.Response.Body,
			Signature: a.Response.Signature,
		}
	case *zlrelay.Merged:
		w.Merged = &merged{
			Records:    a.Records,
			Signatures: a.Signatures,
			Services:   a.Services,
		}
	case *zlrelay.Refused:
		w.Refused = &refused{
			Reason:     a.Reason,
			RetryAfter: a.RetryAfter,
		}
	case *zlrelay.Failed:
		w.Failed = &failed{
			Reason:   a.Reason,
			TimedOut: a.TimedOut,
			Runs:     a.Runs,
		}
	}
}

// decodeReply decodes the reply to the forward of a request.
func decodeReply(id zlunit.RequestID, data []byte) (zlrelay.ForwardReply, error) {
	var r reply
	if err := decoder.Unmarshal(data, &r); err != nil {
		return nil, &Error{
			Op:   "reply",
			Kind: KindFormat,
			Err:  err,
		}
	}
	if r.ID != id {
		return nil, &Error{
			Op:   "reply to another request",
			Kind: KindFormat,
		}
	}
	if r.Declined != nil {
		return &zlrelay.Declined{
			Reason:  r.Declined.Reason,
			Serving: r.Declined.Serving,
		}, nil
	}
	answer := r.answer()
	if answer == nil {
		return nil, &Error{
			Op:   "reply without an answer",
			Kind: KindFormat,
		}
	}
	return &zlrelay.Relayed{
		Answer:  answer,
		Version: r.Version,
	}, nil
}

// answer returns the answer that the reply holds, or nil if it has none that is valid.
func (w *reply) answer() zlrelay.Answer {
	switch {
	case w.Served != nil && w.Served.Signature != "" && zlstatus.IsFinal(w.Served.Status):
		return &zlrelay.Served{
			Response: &zlrelay.Response{
				Status:    w.Served.Status,
				Header:    w.Served.Header,
				Body:      w.Served.Body,
				Signature: w.Served.Signature,
			},
		}
	case w.Merged != nil && len(w.Merged.Signatures) == len(w.Merged.Services):
		return &zlrelay.Merged{
			Records:    w.Merged.Records,
			Signatures: w.Merged.Signatures,
			Services:   w.Merged.Services,
		}
	case w.Refused != nil:
		return &zlrelay.Refused{
			Reason:     w.Refused.Reason,
			RetryAfter: w.Refused.RetryAfter,
		}
	case w.Failed != nil:
		return &zlrelay.Failed{
			Reason:   w.Failed.Reason,
			TimedOut: w.Failed.TimedOut,
			Runs:     max(w.Failed.Runs, 1),
		}
	default:
		return nil
	}
}
