package zlbroadcast

import (
	"bytes"
	"compress/gzip"
	"sync"

	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// compressFrom is the size from which a response is compressed: what fits one packet
// gains nothing.
const compressFrom = 1400

// encodedDelta keeps the last delta of a topic that was encoded for a fetch. After a
// large change all VMs of a data centre fetch the same delta at once from the VM that
// polls; without this, a weak VM encodes it once for each, and sends ten times the
// bytes over its link, so that fetches time out and all VMs ask the store instead.
type encodedDelta struct {
	mu   sync.Mutex
	full bool
	from zlrevision.Revision
	to   zlrevision.Revision
	// buckets are the hashes that the fetch named.
	buckets string
	// data is the encoded delta, compressed if zipped is set.
	data   []byte
	zipped bool
}

// encode returns the encoded delta, without the organisations that the sender of the fetch has,
// and whether it is compressed.
func (e *encodedDelta) encode(d *zlwatcher.Delta, buckets string) (data []byte, zipped bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && e.full == d.Full && e.to == d.ToRevision && (d.Full || e.from == d.FromRevision) && e.buckets == buckets {
		return e.data, e.zipped, nil
	}
	data, err = cbor.Marshal(toWire(d).without(buckets))
	if err != nil {
		return nil, false, err
	}
	if zipped = len(data) >= compressFrom; zipped {
		if data, err = compress(data); err != nil {
			return nil, false, err
		}
	}
	e.full, e.from, e.to, e.buckets = d.Full, d.FromRevision, d.ToRevision, buckets
	e.data, e.zipped = data, zipped
	return data, zipped, nil
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
