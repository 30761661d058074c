// Package zlgossip exchanges the platform's objects between the daemons of
// zinnialock serve by an anti-entropy protocol: a daemon compares digests with a few
// others in each round, pulls and pushes what differs, and learns the age of the
// platform's last confirmation. A daemon that can't reach the platform is kept
// current by those that can. The transport is a Requester, such as zlpeer. Its
// counterpart in the relay is zlbroadcast.
package zlgossip

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlquarantine"
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
	// KindDecode means that a message can't be decoded.
	KindDecode Kind = "decode"
	// KindTopic means that a message has an unknown topic.
	KindTopic Kind = "topic"
)

// Error reports a request or a reply that can't be used.
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
	// Period is the shortest time between two periodic rounds.
	Period = time.Second
	// localPeersPerRound and remotePeersPerRound are the numbers of daemons of
	// the own data centre and of others in a periodic round.
	localPeersPerRound  = 1
	remotePeersPerRound = 1
	// periodJitter is the largest share by which a period is lengthened.
	periodJitter = 0.2
	// staleViewAge is the age of the view from which a round includes all
	// neighbours, up to platformLostAge: past it no daemon reaches the platform,
	// and larger rounds don't help.
	staleViewAge    = 1500 * time.Millisecond
	platformLostAge = 6 * time.Second
	// requestTimeout bounds a request for a digest or a status.
	requestTimeout = 700 * time.Millisecond
	// itemsTimeout bounds a request for objects, which may be large.
	itemsTimeout = 5 * time.Second
	// maxPushBytes bounds the objects that one exchange pushes.
	maxPushBytes = 16 << 10
	// maxWakeDelay is the longest pause before a round that TriggerRound starts.
	maxWakeDelay = 100 * time.Millisecond
	// ClockError bounds the error of the rate of a daemon's clock, as a share.
	ClockError = 0.01
)

// The topics of requests between daemons.
const (
	TopicDigest = "news.digest"
	TopicItems  = "news.items"
	TopicStatus = "news.status"
	TopicCrash  = "news.crash"
)

// Requester sends a request to the daemon at an address and returns its reply.
type Requester interface {
	Request(ctx context.Context, addr, topic string, body []byte) ([]byte, error)
}

// ObjectStore holds the platform's objects of this daemon.
type ObjectStore interface {
	// Store returns the held objects.
	Store() *zlobject.Store
	// ApplyItems accepts the items that are newer than those held.
	ApplyItems(items []zlobject.Item) zlobject.Result
	// Confirmed returns the last local time as of which the platform itself
	// confirmed the view.
	Confirmed() (time.Time, bool)
}

// Gossip exchanges the platform's objects with a few other daemons. The exported
// fields must be set before use. The other methods may be called at the same time
// as Run.
type Gossip struct {
	// Self and Home are the daemon's own VM and data centre.
	Self zlunit.VM
	Home zlunit.DataCentre
	// Seeds lists addresses of daemons to start from without a reachable
	// neighbour.
	Seeds     []string
	Requester Requester
	Timer     *zltimer.Service
	// Views supplies the rosters and takes confirmations of the view.
	Views   *zlview.CurrentView
	Objects ObjectStore
	Log     *log.Logger
	// ListedKinds lists the kinds of objects that a status lists one by one.
	ListedKinds []string
	// Count, if set, counts failures by reason.
	Count func(what, reason string)
	// Quarantine holds what the daemons tell each other of queries that crash upstreams;
	// nil if they don't.
	Quarantine *zlquarantine.Ledger

	once sync.Once
	// wake starts a round with all neighbours.
	wake chan struct{}
	// crashReports holds the reports to pass on.
	crashReports   chan *zlquarantine.Report
	neighbourCache atomic.Pointer[cachedNeighbours]
	// mu guards rounds and unreachable.
	mu          sync.Mutex
	rounds      int
	unreachable map[zlunit.VM]bool
}

// digestRequest asks whether the other daemon holds the same objects.
type digestRequest struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// digestReply holds the ranks of all objects if the digests differ.
type digestReply struct {
	Same  bool        `cbor:"1,keyasint,omitempty"`
	Ranks []rankEntry `cbor:"2,keyasint,omitempty"`
	// Confirmed is true if the platform ever confirmed the view; Age is then the
	// time since its last confirmation, as of the reply.
	Confirmed bool          `cbor:"3,keyasint,omitempty"`
	Age       time.Duration `cbor:"4,keyasint,omitempty"`
	// Quarantined are the queries that crash upstreams.
	Quarantined []zlquarantine.Entry `cbor:"5,keyasint,omitempty"`
}

type rankEntry struct {
	Key  zlobject.Key  `cbor:"1,keyasint"`
	Rank zlobject.Rank `cbor:"2,keyasint"`
}

// itemsRequest pulls objects and pushes others.
type itemsRequest struct {
	Want []zlobject.Key  `cbor:"1,keyasint,omitempty"`
	Push []zlobject.Item `cbor:"2,keyasint,omitempty"`
}

type itemsReply struct {
	Items []zlobject.Item `cbor:"1,keyasint,omitempty"`
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.wake = make(chan struct{}, 1)
		g.crashReports = make(chan *zlquarantine.Report, maxCrashReports)
		g.unreachable = map[zlunit.VM]bool{}
	})
}

// TriggerRound starts a round with all neighbours within maxWakeDelay; call it when an
// update was accepted. It does not block.
func (g *Gossip) TriggerRound() {
	g.init()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Answer answers a request of another daemon; handled is false for a topic of
// another package.
func (g *Gossip) Answer(_ context.Context, topic string, body []byte) (reply []byte, handled bool, err error) {
	g.init()
	switch topic {
	case TopicDigest:
		reply, err = g.answerDigest(body)
	case TopicItems:
		reply, err = g.answerItems(body)
	case TopicStatus:
		reply, err = encode(g.Status())
	case TopicCrash:
		reply, err = g.answerCrash(body)
	default:
		return nil, false, nil
	}
	return reply, true, err
}

func (g *Gossip) answerDigest(body []byte) ([]byte, error) {
	var q digestRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	// The age is read before the ranks, which thus include all that it confirms.
	var r digestReply
	if confirmedAt, ok := g.Views.ConfirmedAt(); ok {
		r.Confirmed = true
		r.Age = g.Timer.Now().Sub(confirmedAt)
	}
	if g.Quarantine != nil {
		r.Quarantined = g.Quarantine.Quarantined()
	}
	store := g.Objects.Store()
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
	var q itemsRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	var r itemsReply
	for _, key := range q.Want {
		if item, ok := g.Objects.Store().Get(key); ok {
			r.Items = append(r.Items, item)
		}
	}
	if len(q.Push) > 0 {
		g.Objects.ApplyItems(q.Push)
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
