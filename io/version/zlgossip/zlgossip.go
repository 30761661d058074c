// Package zlgossip spreads the platform's news between daemons, so that one
// that cannot reach the platform learns from those that can, and with it the
// age of the platform's last confirmation.
package zlgossip

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlobject"
	"zinnialock/core/version/zlview"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindDecode Kind = "decode"
	KindTopic  Kind = "topic"
)

// Error reports a message that cannot be answered.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlgossip: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

const (
	// Period is the time between two rounds.
	Period = time.Second
	// nearAsks and farAsks are how many daemons of the own data centre and of
	// others a round asks.
	nearAsks = 1
	farAsks  = 1
	// jitter lengthens each period by up to this share.
	jitter = 0.2
	// agedView is the age of the view from which a round asks all neighbours,
	// up to lostView, past which the platform is out of everyone's reach.
	agedView = 1500 * time.Millisecond
	lostView = 6 * time.Second
	// askTimeout bounds one question.
	askTimeout = 700 * time.Millisecond
	// pullTimeout bounds a question for objects, which may be large.
	pullTimeout = 5 * time.Second
	// maxGive bounds what a daemon hands over unasked, in bytes.
	maxGive = 16 << 10
	// eagerDelay is the longest pause before a round that fresh news starts.
	eagerDelay = 100 * time.Millisecond
	// ClockError bounds how much a daemon's clock runs fast or slow, as a
	// share.
	ClockError = 0.01
)

// The topics of questions between daemons.
const (
	TopicDigest = "news.digest"
	TopicItems  = "news.items"
	TopicStatus = "news.status"
)

// Asker sends a question to the daemon at an address.
type Asker interface {
	Ask(ctx context.Context, addr, topic string, body []byte) ([]byte, error)
}

// News is what the daemon holds of the platform's objects.
type News interface {
	Store() *zlobject.Store
	Take(items []zlobject.Item) zlobject.Result
	// Confirmed returns the last local time as of which the platform itself
	// confirmed the view.
	Confirmed() (time.Time, bool)
}

// Gossip exchanges news with a few daemons. The exported fields must be set
// before Run.
type Gossip struct {
	Self  zlunit.VM
	Home  zlunit.DataCentre
	Seeds []string
	Asker Asker
	Timer *zltimer.Service
	Views *zlview.CurrentView
	News  News
	Log   *log.Logger
	// Shown lists the kinds of objects that a status shows one by one.
	Shown []string
	// Count, if set, counts failures by reason.
	Count func(what, reason string)

	once   sync.Once
	kick   chan struct{}
	known  atomic.Pointer[neighbourhood]
	mu     sync.Mutex
	turns  int
	silent map[zlunit.VM]bool
}

// digestQuestion asks whether the other daemon holds the same.
type digestQuestion struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// digestReply carries the ranks only where the digests differ.
type digestReply struct {
	Same  bool        `cbor:"1,keyasint,omitempty"`
	Ranks []rankEntry `cbor:"2,keyasint,omitempty"`
	// Heard tells that Age, the time since the platform's confirmation as of
	// the reply, is known.
	Heard bool          `cbor:"3,keyasint,omitempty"`
	Age   time.Duration `cbor:"4,keyasint,omitempty"`
}

type rankEntry struct {
	Key  zlobject.Key  `cbor:"1,keyasint"`
	Rank zlobject.Rank `cbor:"2,keyasint"`
}

// itemsQuestion asks for objects and hands over others.
type itemsQuestion struct {
	Want []zlobject.Key  `cbor:"1,keyasint,omitempty"`
	Give []zlobject.Item `cbor:"2,keyasint,omitempty"`
}

type itemsReply struct {
	Items []zlobject.Item `cbor:"1,keyasint,omitempty"`
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.kick = make(chan struct{}, 1)
		g.silent = map[zlunit.VM]bool{}
	})
}

// Kick starts a round with all neighbours soon; call it after fresh news.
func (g *Gossip) Kick() {
	g.init()
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// Answer answers a question of another daemon; handled is false for a topic that is
// not this package's.
func (g *Gossip) Answer(_ context.Context, topic string, body []byte) (reply []byte, handled bool, err error) {
	g.init()
	switch topic {
	case TopicDigest:
		reply, err = g.answerDigest(body)
	case TopicItems:
		reply, err = g.answerItems(body)
	case TopicStatus:
		reply, err = encode(g.Status())
	default:
		return nil, false, nil
	}
	return reply, true, err
}

func (g *Gossip) answerDigest(body []byte) ([]byte, error) {
	var q digestQuestion
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	// The age first: then what it confirms is surely in the ranks.
	var r digestReply
	if heard, ok := g.Views.ConfirmedAt(); ok {
		r.Heard = true
		r.Age = g.Timer.Now().Sub(heard)
	}
	store := g.News.Store()
	r.Same = store.Digest() == q.Digest
	if !r.Same {
		for key, rank := range store.Ranks() {
			r.Ranks = append(r.Ranks, rankEntry{
				Key:  key,
				Rank: rank,
			})
		}
	}
	return encode(r)
}

func (g *Gossip) answerItems(body []byte) ([]byte, error) {
	var q itemsQuestion
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	var r itemsReply
	for _, key := range q.Want {
		if item, ok := g.News.Store().Get(key); ok {
			r.Items = append(r.Items, item)
		}
	}
	if len(q.Give) > 0 {
		g.News.Take(q.Give)
	}
	return encode(r)
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{
		Time: cbor.TimeRFC3339Nano,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(message any) ([]byte, error) {
	return encMode.Marshal(message)
}

func decode(body []byte, out any) error {
	if err := cbor.Unmarshal(body, out); err != nil {
		return &Error{
			Op:   "answer",
			Kind: KindDecode,
			Err:  eris.Wrap(err, "message"),
		}
	}
	return nil
}

func (g *Gossip) count(what, reason string) {
	if g.Count != nil {
		g.Count(what, reason)
	}
}
