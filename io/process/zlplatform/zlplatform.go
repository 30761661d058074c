// Package zlplatform is the client of the object API that zinnialock serve expects
// of its platform, and which the stand-in zlfakeplatform serves: it reads, writes
// and watches versioned objects, with conditional updates, over HTTP and JSON.
// Values are passed on as JSON and not interpreted. Each method sends one request;
// retries, polls and conflicts are up to the caller. The users' platform, on which
// the relay runs, has another API, which package platform translates.
package zlplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlstatus"
	"zinnialock/io/process/zljson"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindConflict means that the object has another version; nothing changed.
	KindConflict Kind = "conflict"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "notFound"
	// KindUnavailable means that no valid reply came, or status 502, 503 or 504; a write may
	// have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindLimited means that the platform's rate limit is reached; nothing changed.
	KindLimited Kind = "limited"
	// KindRejected means that the request could not be built or that the platform rejected
	// it; nothing changed.
	KindRejected Kind = "rejected"
	// KindDecode means that the reply could not be decoded.
	KindDecode Kind = "decode"
)

// Error reports a failed call.
type Error struct {
	// Op is the operation: "get", "put", "delete", "watch" or "vms".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlplatform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ObjectKind names a collection of objects.
type ObjectKind string

// The collections that the system uses.
const (
	// ObjectSettings holds the operators' settings tree.
	ObjectSettings ObjectKind = "settings"
	// ObjectMarks holds what operators took out of service.
	ObjectMarks ObjectKind = "marks"
	// ObjectCatalog holds a catalogue for each service.
	ObjectCatalog ObjectKind = "catalog"
	// ObjectRoster holds a roster for each data centre.
	ObjectRoster ObjectKind = "roster"
	// ObjectClaim holds claims of request ids.
	ObjectClaim ObjectKind = "claim"
	// ObjectHistory holds changes that are too old for the histories in the records
	// themselves.
	ObjectHistory ObjectKind = "history"
)

// Object is one stored value.
type Object struct {
	// Kind and Name identify the object.
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
	// Version changes with each write of the object.
	Version zlunit.ObjectVersion `json:"version"`
	// Value is the content as JSON.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted is true for a tombstone: the object was deleted at Version.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is a set of objects as of a revision of the whole store.
type Listing struct {
	// Revision is the version of the whole store; Watch continues after it.
	Revision zlunit.ObjectVersion `json:"revision"`
	// Objects are the objects that changed, or all of them.
	Objects []Object `json:"objects"`
}

const (
	// maxReplyBytes bounds what the bodies of all replies take that are being read or
	// decoded; one alone may take half of it. maxReplyHeadBytes bounds a head.
	maxReplyBytes     = 64 << 20
	maxReplyHeadBytes = 32 << 10
	// maxErrorBytes bounds how much of an error reply goes into the Error.
	maxErrorBytes = 300
)

// Client calls the platform. All fields but OnOutage must be set before use. Its methods
// may be called concurrently; their errors are of type *Error.
type Client struct {
	// Address is the platform's IP address and port.
	Address string
	// HTTP sends the requests.
	HTTP *http.Client
	// Timeout bounds each call; a watch may take its own wait in addition.
	Timeout time.Duration
	// OnOutage, if set, is called at the start and at the end of an outage of the
	// platform. It must not block.
	OnOutage func(t OutageChange)

	outage outageDetector
	// replies limits the bodies of all replies; budget sets its limit once.
	replies     zlreadbudget.Budget
	repliesOnce sync.Once
}

// Get reads one object; the kind of the error is KindNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, kind ObjectKind, name string) (*Object, error) {
	var o Object
	err := c.call(ctx, "get", http.MethodGet, objectPath(kind, name), nil, c.Timeout, &o)
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// Put writes value as JSON to an object if its version still is ifVersion, 0 for an
// object that does not exist, and returns the new version. If the version differs, the
// kind of the error is KindConflict.
func (c *Client) Put(ctx context.Context, kind ObjectKind, name string, ifVersion zlunit.ObjectVersion, value any) (zlunit.ObjectVersion, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, &Error{
			Op:   "put",
			Kind: KindRejected,
			Err:  eris.Wrap(err, "encode the value"),
		}
	}
	var o Object
	path := objectPath(kind, name) + "?ifVersion=" + strconv.FormatUint(uint64(ifVersion), 10)
	if err := c.call(ctx, "put", http.MethodPut, path, data, c.Timeout, &o); err != nil {
		return 0, err
	}
	return o.Version, nil
}

// Delete removes an object if its version still is ifVersion.
func (c *Client) Delete(ctx context.Context, kind ObjectKind, name string, ifVersion zlunit.ObjectVersion) error {
	path := objectPath(kind, name) + "?ifVersion=" + strconv.FormatUint(uint64(ifVersion), 10)
	return c.call(ctx, "delete", http.MethodDelete, path, nil, c.Timeout, nil)
}

// Watch returns the objects of the given kinds that changed after a revision. It is a
// long poll: it waits for a change for at most wait. With revision 0 it lists all
// objects without waiting.
func (c *Client) Watch(ctx context.Context, kinds []ObjectKind, after zlunit.ObjectVersion, wait time.Duration) (*Listing, error) {
	q := url.Values{
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	for _, k := range kinds {
		q.Add("kind", string(k))
	}
	var l Listing
	if err := c.call(ctx, "watch", http.MethodGet, "/watch?"+q.Encode(), nil, wait+c.Timeout, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

func objectPath(kind ObjectKind, name string) string {
	return "/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends one request, decodes the reply into out unless that is nil, and records
// whether the platform can be reached.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, timeout time.Duration, out any) error {
	err := c.roundTrip(ctx, op, method, path, body, timeout, out)
	// A call that its caller cancelled says nothing about the platform.
	if ctx.Err() == nil {
		c.recordResult(err)
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, op, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{
			Op:   op,
			Kind: KindRejected,
			Err:  eris.Wrap(err, "create the request"),
		}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &Error{
			Op:   op,
			Kind: KindUnavailable,
			Err:  eris.Wrap(err, path),
		}
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	reservation := &zlreadbudget.Reservation{
		Budget: c.budget(),
	}
	defer reservation.Close()
	data, err := io.ReadAll(&boundedReader{
		reader:      resp.Body,
		reservation: reservation,
	})
	if err != nil {
		return &Error{
			Op:   op,
			Kind: KindUnavailable,
			Err:  eris.Wrap(err, path),
		}
	}
	if resp.StatusCode != http.StatusOK {
		return &Error{
			Op:   op,
			Kind: kindOf(resp.StatusCode),
			Err:  eris.Errorf("%s: status %d: %s", path, resp.StatusCode, truncate(data)),
		}
	}
	if out == nil {
		return nil
	}
	if err := zljson.Unmarshal(data, out); err != nil {
		return &Error{
			Op:   op,
			Kind: KindDecode,
			Err:  eris.Wrap(err, path),
		}
	}
	return nil
}

// budget returns the budget of the bodies of all replies.
func (c *Client) budget() *zlreadbudget.Budget {
	c.repliesOnce.Do(func() {
		c.replies.Limit = maxReplyBytes
	})
	return &c.replies
}

// errReplyTooLong ends a reply for which there is no room, as one without end has none.
var errReplyTooLong = errors.New("the reply is too long")

// boundedReader reads what its reservation allows.
type boundedReader struct {
	reader      io.Reader
	reservation *zlreadbudget.Reservation
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if !r.reservation.Grow(zlreadbudget.Bytes(n)) {
		return 0, errReplyTooLong
	}
	return n, err
}

// kindOf returns the kind of error for an HTTP status other than 200.
func kindOf(status int) Kind {
	if !zlstatus.IsFinal(status) {
		return KindUnavailable
	}
	switch status {
	case http.StatusConflict:
		return KindConflict
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusTooManyRequests:
		return KindLimited
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return KindUnavailable
	default:
		return KindRejected
	}
}

// truncate returns the start of an error reply.
func truncate(data []byte) string {
	if len(data) > maxErrorBytes {
		data = data[:maxErrorBytes]
	}
	return string(data)
}

// Is reports whether err is an *Error of kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
