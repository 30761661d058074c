package zlbroadcast

import (
	"bytes"
	"compress/gzip"
	"sync"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// compressFrom is the size from which a response is compressed: what fits one packet
// gains nothing.
const compressFrom = 1400

// errNoRoom means that the replies that are being sent leave no room for another one.
var errNoRoom = eris.New("no room for the reply")

// replyKey is what replies with the same bytes have in common.
type replyKey struct {
	full bool
	// from is unset for a full delta, which doesn't depend on it.
	from zlrevision.Revision
	to   zlrevision.Revision
	// buckets are the hashes that the fetch named; empty unless the topic is the table.
	buckets string
}

// encodedReply is the encoded reply to fetches.
type encodedReply struct {
	key replyKey
	// data is compressed if zipped is set.
	data   []byte
	zipped bool
	// users counts those that send it, and replyCache itself.
	users       int
	reservation zlreadbudget.Reservation
}

// replyCache keeps the last replies of a topic, plain and for those who accept compression.
// After a large change all VMs of a data centre fetch the same delta at once from the VM
// that polls; without this, a weak VM encodes it once for each, and sends ten times the
// bytes over its link, so that fetches time out and all VMs ask the store instead.
//
// It encodes one reply at a time, and budget bounds the bytes of all that are being sent:
// fetches without end, or of which nobody reads the reply, don't add to the memory then.
type replyCache struct {
	mu   sync.Mutex
	last map[bool]*encodedReply
}

// get returns the reply with the delta that since returns, or nil without one. It must be
// released once it was sent.
func (c *replyCache) get(budget *zlreadbudget.Budget, since func() *zlwatcher.Delta, buckets string, zip bool) (*encodedReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := since()
	if d == nil {
		return nil, nil
	}
	key := replyKey{
		full:    d.Full,
		to:      d.ToRevision,
		buckets: buckets,
	}
	if !d.Full {
		key.from = d.FromRevision
	}
	if r := c.last[zip]; r != nil && r.key == key {
		r.users++
		return r, nil
	}
	data, err := cbor.Marshal(toWire(d).without(buckets))
	zipped := zip && len(data) >= compressFrom
	if err == nil && zipped {
		data, err = compress(data)
	}
	if err != nil {
		return nil, err
	}
	r := &encodedReply{
		key:    key,
		data:   data,
		zipped: zipped,
		users:  2,
		reservation: zlreadbudget.Reservation{
			Budget: budget,
		},
	}
	if !r.reservation.Grow(zlreadbudget.Bytes(len(data))) {
		return nil, errNoRoom
	}
	if c.last == nil {
		c.last = map[bool]*encodedReply{}
	}
	if old := c.last[zip]; old != nil {
		old.drop()
	}
	c.last[zip] = r
	return r, nil
}

// release ends the use of a reply that get returned.
func (c *replyCache) release(r *encodedReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.drop()
}

// drop ends one use. The caller holds mu of the cache.
func (r *encodedReply) drop() {
	if r.users--; r.users == 0 {
		r.reservation.Close()
	}
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
