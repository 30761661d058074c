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

// frameKind says what a frame holds.
type frameKind byte

// A frame is its kind, the length of its body (four bytes, the highest first),
// and its body in CBOR.
const (
	// frameBatch holds a zlquery.Batch; it is the first of a batch stream.
	frameBatch frameKind = 'B'
	// frameCancel holds the sub-requests to give up.
	frameCancel frameKind = 'C'
	// frameReplies holds replies to one batch.
	frameReplies frameKind = 'R'
	// frameQuestion and frameAnswer hold a small request and its reply.
	frameQuestion frameKind = 'Q'
	frameAnswer   frameKind = 'A'
)

const (
	headerSize = 5
	// maxBatchFrame and maxReplyFrame bound the body of a frame, in bytes.
	maxBatchFrame = 1 << 20
	maxReplyFrame = 16 << 20
	// maxUnknown bounds the frames of unknown kind on one stream.
	maxUnknown = 64
	// readChunk bounds what is set aside before the bytes have arrived.
	readChunk = 64 << 10
	// readBuffer is read ahead of the frame that is asked for, in bytes.
	readBuffer = 512
	// keptBuffer bounds the buffers that are kept for reuse.
	keptBuffer = 256 << 10
)

var buffers = sync.Pool{
	New: func() any {
		return &bytes.Buffer{}
	},
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > keptBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// writeFrame encodes message and writes it as one frame by one write.
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

// frameReader reads frames of at most most bytes off a stream.
type frameReader struct {
	reader  *bufio.Reader
	most    uint32
	unknown int
	// dropped is called for each frame of unknown kind; it may be nil.
	dropped func()
	body    bytes.Buffer
}

var readers = sync.Pool{
	New: func() any {
		return &frameReader{
			reader: bufio.NewReaderSize(nil, readBuffer),
		}
	},
}

func newFrameReader(r io.Reader, most uint32, dropped func()) *frameReader {
	f := readers.Get().(*frameReader)
	f.reader.Reset(r)
	f.most = most
	f.unknown = 0
	f.dropped = dropped
	return f
}

// release gives the reader back for reuse; nothing that it returned may be
// looked at any more.
func (f *frameReader) release() {
	f.reader.Reset(nil)
	f.dropped = nil
	if f.body.Cap() <= keptBuffer {
		readers.Put(f)
	}
}

// next returns the next frame of a known kind. The body holds until the next
// call.
func (f *frameReader) next() (frameKind, []byte, error) {
	for {
		var header [headerSize]byte
		if _, err := io.ReadFull(f.reader, header[:]); err != nil {
			return 0, nil, err
		}
		kind := frameKind(header[0])
		size := binary.BigEndian.Uint32(header[1:])
		if size > f.most {
			return 0, nil, decodeFault(eris.Errorf("frame of %d bytes, allowed is %d", size, f.most))
		}
		if !kind.known() {
			if err := f.skip(size); err != nil {
				return 0, nil, err
			}
			continue
		}
		f.body.Reset()
		if size <= readChunk {
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
	case frameBatch, frameCancel, frameReplies, frameQuestion, frameAnswer:
		return true
	default:
		return false
	}
}

func (f *frameReader) skip(size uint32) error {
	f.unknown++
	if f.dropped != nil {
		f.dropped()
	}
	if f.unknown > maxUnknown {
		return decodeFault(eris.New("too many frames of unknown kind"))
	}
	_, err := io.CopyN(io.Discard, f.reader, int64(size))
	return err
}

func decodeFault(err error) error {
	return &Error{
		Op:   "decode",
		Kind: KindDecode,
		Err:  err,
	}
}
