// Package zlplatform is the client of the platform's object API: objects with
// versions, conditional updates and watches, over HTTP and JSON.
package zlplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindConflict tells that the object has another version; nothing changed.
	KindConflict Kind = "conflict"
	// KindNotFound tells that there is no such object.
	KindNotFound Kind = "notFound"
	// KindUnavailable tells that no reply came; a write may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindLimited tells that the platform's rates are used up; nothing changed.
	KindLimited Kind = "limited"
	// KindRejected tells that the platform refused the call; nothing changed.
	KindRejected Kind = "rejected"
	// KindDecode tells that the reply could not be read.
	KindDecode Kind = "decode"
)

// Error reports a failed call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
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
	ObjectSettings ObjectKind = "settings"
	ObjectMarks    ObjectKind = "marks"
	ObjectCatalog  ObjectKind = "catalog"
	ObjectRoster   ObjectKind = "roster"
	ObjectClaim    ObjectKind = "claim"
	// ObjectHistory holds what the records' own histories no longer do.
	ObjectHistory ObjectKind = "history"
)

// Object is one stored value.
type Object struct {
	Kind    ObjectKind           `json:"kind"`
	Name    string               `json:"name"`
	Version zlunit.ObjectVersion `json:"version"`
	Value   json.RawMessage      `json:"value,omitempty"`
	Deleted bool                 `json:"deleted,omitempty"`
}

// Listing is a set of objects as of a revision of the whole store.
type Listing struct {
	Revision zlunit.ObjectVersion `json:"revision"`
	Objects  []Object             `json:"objects"`
}

const (
	// maxReply bounds a reply in bytes.
	maxReply = 64 << 20
	// maxErrorText bounds how much of an error reply is kept, in bytes.
	maxErrorText = 300
)

// Client calls the platform. Address and HTTP must be set before use.
type Client struct {
	// Address is the platform's IP and port.
	Address string
	HTTP    *http.Client
	// Timeout bounds each call; a watch has its own wait on top.
	Timeout time.Duration
	// Turned, if set, is called when the platform is lost and when it is back.
	// It must not block.
	Turned func(t Turn)

	reach reach
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind ObjectKind, name string) (*Object, error) {
	var o Object
	err := c.call(ctx, "get", http.MethodGet, objectPath(kind, name), nil, c.Timeout, &o)
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// Put writes an object if its version still is ifVersion, 0 for one that does
// not exist, and returns the new version.
func (c *Client) Put(ctx context.Context, kind ObjectKind, name string, ifVersion zlunit.ObjectVersion, value any) (zlunit.ObjectVersion, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, &Error{
			Op:   "put",
			Kind: KindRejected,
			Err:  eris.Wrap(err, "encode"),
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

// Watch returns what changed in the given kinds after a revision, waiting up
// to wait for something to change. Revision 0 lists everything at once.
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

func (c *Client) call(ctx context.Context, op, method, path string, body []byte, timeout time.Duration, out any) error {
	err := c.exchange(ctx, op, method, path, body, timeout, out)
	// A caller who gave up tells nothing of the platform.
	if ctx.Err() == nil {
		c.note(err)
	}
	return err
}

func (c *Client) exchange(ctx context.Context, op, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{
			Op:   op,
			Kind: KindRejected,
			Err:  eris.Wrap(err, "request"),
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
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
			Err:  eris.Errorf("%s: status %d: %s", path, resp.StatusCode, clip(data)),
		}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{
			Op:   op,
			Kind: KindDecode,
			Err:  eris.Wrap(err, path),
		}
	}
	return nil
}

func kindOf(status int) Kind {
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

func clip(data []byte) string {
	if len(data) > maxErrorText {
		data = data[:maxErrorText]
	}
	return string(data)
}

// Is reports whether err is an *Error of kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
