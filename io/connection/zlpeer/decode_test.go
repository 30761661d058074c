package zlpeer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func frame(t testing.TB, kind frameKind, message any) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := appendFrame(&b, kind, message); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func sampleReplies() repliesMessage {
	return repliesMessage{
		Query: "q",
		Replies: []replyMessage{
			encodeReply(&zlquery.Reply{
				Sub: 1,
				Result: zlquery.Done{
					Part: zlquery.Part{
						Upstream: "u",
						Coverage: 0.5,
						Rows:     []string{"row"},
					},
				},
			}),
			encodeReply(&zlquery.Reply{
				Sub: 2,
				Result: zlquery.NotRun{
					Reason: zlquery.ReasonShed,
				},
			}),
			encodeReply(&zlquery.Reply{
				Sub: 3,
				Result: zlquery.Unknown{
					Reason: zlquery.ReasonPeerLost,
				},
			}),
		},
	}
}

func sampleBatch() *zlquery.Batch {
	return &zlquery.Batch{
		Query:    "q",
		TimeLeft: 1,
		SubRequests: []zlquery.SubRequest{
			{
				Upstream: "u",
			},
		},
	}
}

func TestFrames(t *testing.T) {
	convey.Convey("Frames of unknown kind are skipped and counted", t, func() {
		dropped := 0
		data := append(frame(t, 'z', "something else"), frame(t, frameCancel, cancelMessage{
			Subs: []zlunit.SubRequestID{7},
		})...)
		r := newFrameReader(bytes.NewReader(data), maxBatchFrame, func() {
			dropped++
		})
		kind, body, err := r.next()
		convey.So(err, convey.ShouldBeNil)
		convey.So(kind, convey.ShouldEqual, frameCancel)
		ids, err := decodeCancel(body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(ids, convey.ShouldResemble, []zlunit.SubRequestID{7})
		convey.So(dropped, convey.ShouldEqual, 1)
	})
	convey.Convey("Too many frames of unknown kind are a decoding error", t, func() {
		data := bytes.Repeat(frame(t, 'z', 1), maxUnknownFrames+1)
		_, _, err := newFrameReader(bytes.NewReader(data), maxBatchFrame, nil).next()
		var decodeErr *Error
		convey.So(errors.As(err, &decodeErr), convey.ShouldBeTrue)
		convey.So(decodeErr.Kind, convey.ShouldEqual, KindDecode)
	})
	convey.Convey("A frame whose header claims a body over the bound is an error", t, func() {
		data := []byte{byte(frameBatch), 0xff, 0xff, 0xff, 0xff}
		_, _, err := newFrameReader(bytes.NewReader(data), maxBatchFrame, nil).next()
		var decodeErr *Error
		convey.So(errors.As(err, &decodeErr), convey.ShouldBeTrue)
	})
	convey.Convey("A truncated frame is an error", t, func() {
		data := frame(t, frameReplies, sampleReplies())
		_, _, err := newFrameReader(bytes.NewReader(data[:len(data)-1]), maxReplyFrame, nil).next()
		convey.So(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), convey.ShouldBeTrue)
	})
}

func TestRepliesOutOfBoundsAreLeftOut(t *testing.T) {
	edits := map[string]func(*replyMessage){
		"no result": func(m *replyMessage) {
			m.Done = nil
		},
		"two results": func(m *replyMessage) {
			m.Unknown = &unknownMessage{
				Reason: zlquery.ReasonShed,
			}
		},
		"coverage": func(m *replyMessage) {
			m.Done.Coverage = 1.5
		},
		"name": func(m *replyMessage) {
			m.Done.Upstream = zlunit.Upstream(strings.Repeat("x", maxNameBytes+1))
		},
		"service": func(m *replyMessage) {
			m.Done.Service = -1
		},
	}
	for name, edit := range edits {
		convey.Convey("Out of bounds: "+name, t, func() {
			m := sampleReplies()
			edit(&m.Replies[0])
			_, body, err := newFrameReader(bytes.NewReader(frame(t, frameReplies, m)), maxReplyFrame, nil).next()
			convey.So(err, convey.ShouldBeNil)
			replies, dropped, err := decodeReplies(body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(dropped, convey.ShouldEqual, 1)
			convey.So(len(replies), convey.ShouldEqual, 2)
		})
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(frame(f, frameBatch, sampleBatch()))
	f.Add(frame(f, frameReplies, sampleReplies()))
	f.Add(frame(f, frameCancel, cancelMessage{}))
	f.Add(frame(f, frameRequest, request{
		Topic: "t",
	}))
	f.Add([]byte{byte(frameBatch), 0, 0, 0, 1, 0xa0})
	f.Add([]byte("z\x00\x00\x00\x00R\x00\x00\x00\x01\x80"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data), maxBatchFrame, nil)
		for {
			kind, body, err := r.next()
			if err != nil {
				return
			}
			switch kind {
			case frameBatch:
				if b, err := decodeBatch(body); err == nil && checkBatch(b) != nil {
					t.Fatal("a batch out of bounds was accepted")
				}
			case frameCancel:
				_, _ = decodeCancel(body)
			case frameReplies:
				replies, _, _ := decodeReplies(body)
				for i := range replies {
					if replies[i].Result == nil {
						t.Fatal("a reply without a result was accepted")
					}
				}
			default:
			}
		}
	})
}
