package zlrelay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Message is the caller's HTTP request, which is forwarded unchanged.
type Message struct {
	// Method is the HTTP method.
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	// Path is the path of Target, which selects the route.
	Path string
	// Host is the requested host, which selects the route.
	Host string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the complete request body.
	Body []byte
}

// Request is one attempt of a caller.
type Request struct {
	// ID identifies the request in events and traces.
	ID zlunit.RequestID
	// Message is the HTTP request to forward.
	Message *Message
	// Key is the digest of the caller's key, nil if it sent none, and Organisation whose
	// key that is, empty if the request has none. Serve sets Organisation.
	Key          *zltable.KeyDigest
	Organisation zlunit.Organisation
	// Received is when the request arrived at this VM.
	Received time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Transit is the part of the caller's wait that is spent outside this
	// process: network transit in both directions and connection setup.
	Transit time.Duration

	mu    sync.Mutex
	ended bool
	atEnd []func()
}

// AtEnd calls release once the request has ended and its answer was written, at once if
// it has ended already.
func (r *Request) AtEnd(release func()) {
	r.mu.Lock()
	if !r.ended {
		r.atEnd = append(r.atEnd, release)
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	release()
}

// End ends the request. It must be called once its answer was written.
func (r *Request) End() {
	r.mu.Lock()
	r.ended = true
	list := r.atEnd
	r.atEnd = nil
	r.mu.Unlock()
	for _, release := range list {
		release()
	}
}

// Call is one send of a request to a replica.
type Call struct {
	// Request is the caller's request.
	Request *Request
	// Deadline is when the replica must stop working on the request.
	Deadline time.Time
	// Start must be called right before the first byte is sent; if it returns
	// false, nothing may be sent.
	Start func() bool
	// ShortIdle asks the sender to keep the idle connection only for a short time:
	// the replica is in another data centre and accepts too few connections for
	// every VM to keep one.
	ShortIdle bool
}

// Reply is the result of a Call: one of *Response, *NotRun and *Unknown.
type Reply interface {
	reply()
}

// Notice is what a replica says of itself in any of its answers.
type Notice struct {
	// Leaving is set if the replica is leaving.
	Leaving bool
	// Backoff is how long the replica wants no requests from this VM; 0 if it did not
	// say so.
	Backoff time.Duration
	// RateLimited is set if the replica limits its requests, and RateLimit is how many
	// a second it takes from all VMs together.
	RateLimited bool
	RateLimit   float64
}

// Response is a complete response of the replica to this request.
type Response struct {
	Notice
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the complete response body.
	Body []byte
	// Signature is the replica's signature of the response.
	Signature string
}

// NotRun reports that the replica provably did not start the request.
type NotRun struct {
	Notice
	// Reason is why the request was not run.
	Reason zldecision.Reason
	// Arrived is set if the request reached the replica, which refused it.
	Arrived bool
	// RetryAfter is how long the replica asked not to be sent more; 0 means that it
	// did not ask.
	RetryAfter time.Duration
}

// Unknown reports that the request was sent and no usable response came back; it
// may have run.
type Unknown struct {
	Notice
	// Reason is why there is no usable response.
	Reason zldecision.Reason
	// ReplicaEnded is set if the replica ended the connection before any byte of an
	// answer, as it does when it crashes.
	ReplicaEnded bool
}

func (*Response) reply() {}
func (*NotRun) reply()   {}
func (*Unknown) reply()  {}

// Sender sends calls to replicas.
type Sender interface {
	// Send sends c to the replica e and returns once there is a reply or ctx is
	// done. It is called concurrently.
	Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply
}

// Answer is the result of a request: one of *Served, *Merged, *Refused and
// *Failed.
type Answer interface {
	answer()
}

// Served is the answer to a request that one replica served.
type Served struct {
	// Response is the replica's response, which may be an error response.
	Response *Response
}

// Merged is the answer to a scattered request.
type Merged struct {
	// Records holds the greatest records of all parts in descending order.
	Records []byte
	// Signatures holds the signatures of the merged parts, and Services their services.
	Signatures []string
	Services   []zlunit.Service
	// Missing is the number of shards without a part.
	Missing int
}

// Refused reports that the request did not run and will not run.
type Refused struct {
	// Reason is why the request was refused.
	Reason zldecision.Reason
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// no advice.
	RetryAfter time.Duration
}

// Failed reports that the request ended without an answer; it may have run.
type Failed struct {
	// Reason is why there is no answer.
	Reason zldecision.Reason
	// TimedOut is set if the request reached its deadline.
	TimedOut bool
	// Runs is on how many replicas a part of it may have run, at least 1.
	Runs int
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (*Served) answer()  {}
func (*Merged) answer()  {}
func (*Refused) answer() {}
func (*Failed) answer()  {}
