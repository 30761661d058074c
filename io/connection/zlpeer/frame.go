package zlpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// frameKind is the kind of message in a frame.
type frameKind byte

// A frame consists of its kind (one byte), the length of its body (four bytes,
// big endian), and its body in CBOR.
const (
	// frameBatch holds a zlquery.Batch; it is the first frame of its stream.
	frameBatch frameKind = 'B'
	// frameCancel holds the sub-requests to cancel; without any it is a
	// keep-alive.
	frameCancel frameKind = 'C'
	// frameReplies holds replies to one batch.
	frameReplies frameKind = 'R'
	// frameRequest and frameResponse hold a small request and its response.
	frameRequest  frameKind = 'Q'
	frameResponse frameKind = 'A'
)

const (
	// headerSize is the length of kind and body length, in bytes.
	headerSize = 5
	// maxBatchFrame and maxReplyFrame bound the body of a frame that the serving
	// and the sending side read, in bytes.
	maxBatchFrame = 1 << 20
	maxReplyFrame = 16 << 20
	// maxUnknownFrames bounds the skipped frames of unknown kind on one stream.
	maxUnknownFrames = 64
	// maxPrealloc is the longest body, in bytes, for which the buffer is allocated
	// at once. For others it grows with the bytes that arrive, so that a header
	// alone can't claim much memory.
	maxPrealloc = 64 << 10
	// readBufferSize is the size of the read-ahead buffer, in bytes.
	readBufferSize = 512
	// maxPooledBuffer bounds the buffers that are kept for reuse, in bytes.
	maxPooledBuffer = 256 << 10
)

var buffers = sync.Pool{
	New: func() any {
		return &bytes.Buffer{}
	},
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// writeFrame encodes message and writes it as one frame in a single write.
func writeFrame(w io.Writer, kind frameKind, message any) error {
	b := buffers.Get().(*bytes.Buffer)
	defer putBuffer(b)
	if err := appendFrame(b, kind, message); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

func appendFrame(b *bytes.Buffer, kind frameKind, message any) error {
	from := b.Len()
	b.Write([]byte{byte(kind), 0, 0, 0, 0})
	if err := cbor.MarshalToBuffer(message, b); err != nil {
		b.Truncate(from)
		return err
	}
	body := b.Len() - from - headerSize
	binary.BigEndian.PutUint32(b.Bytes()[from+1:], uint32(body))
	return nil
}

// frameReader reads frames with bodies of up to maxBody bytes from a stream. It is
// pooled; see release.
type frameReader struct {
	reader        *bufio.Reader
	maxBody       uint32
	unknownFrames int
	// onUnknown is called for each frame of unknown kind; it may be nil.
	onUnknown func()
	body      bytes.Buffer
}

var readers = sync.Pool{
	New: func() any {
		return &frameReader{
			reader: bufio.NewReaderSize(nil, readBufferSize),
		}
	},
}

func newFrameReader(r io.Reader, maxBody uint32, onUnknown func()) *frameReader {
	f := readers.Get().(*frameReader)
	f.reader.Reset(r)
	f.maxBody = maxBody
	f.unknownFrames = 0
	f.onUnknown = onUnknown
	return f
}

// release returns the reader to the pool; bodies that it returned must not be used
// any more.
func (f *frameReader) release() {
	f.reader.Reset(nil)
	f.onUnknown = nil
	if f.body.Cap() <= maxPooledBuffer {
		readers.Put(f)
	}
}

// next returns the kind and body of the next frame of a known kind, and skips
// others. The body is valid until the next call.
func (f *frameReader) next() (frameKind, []byte, error) {
	for {
		var header [headerSize]byte
		if _, err := io.ReadFull(f.reader, header[:]); err != nil {
			return 0, nil, err
		}
		kind := frameKind(header[0])
		size := binary.BigEndian.Uint32(header[1:])
		if size > f.maxBody {
			return 0, nil, decodeError(eris.Errorf("frame body has %d bytes, allowed is %d", size, f.maxBody))
		}
		if !kind.known() {
			if err := f.skip(size); err != nil {
				return 0, nil, err
			}
			continue
		}
		f.body.Reset()
		if size <= maxPrealloc {
			f.body.Grow(int(size))
		}
		if _, err := io.CopyN(&f.body, f.reader, int64(size)); err != nil {
			return 0, nil, err
		}
		return kind, f.body.Bytes(), nil
	}
}

func (k frameKind) known() bool {
	switch k {
	case frameBatch, frameCancel, frameReplies, frameRequest, frameResponse:
		return true
	default:
		return false
	}
}

func (f *frameReader) skip(size uint32) error {
	f.unknownFrames++
	if f.onUnknown != nil {
		f.onUnknown()
	}
	if f.unknownFrames > maxUnknownFrames {
		return decodeError(eris.New("too many frames of unknown kind"))
	}
	_, err := io.CopyN(io.Discard, f.reader, int64(size))
	return err
}

func decodeError(err error) error {
	return &Error{
		Op:   "decode",
		Kind: KindDecode,
		Err:  err,
	}
}
