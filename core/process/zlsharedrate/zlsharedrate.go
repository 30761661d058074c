// Package zlsharedrate is a rate that many VMs share by messages: what all of them grant
// together stays within it, also when they are cut off from each other, and nearly all of
// it can be used by callers of any one VM. Node is the protocol without a clock or a
// network; Limiter runs it for the requests of organisations. It does not limit a single
// process (see zltokenbucket), and datagrams are carried by zlbroadcast.
//
// Each VM has an equal share of a rate. It delegates it to the keeper of its data centre,
// for a limited time and to one VM at a time, so that no share counts twice. VMs take
// tokens from their keeper in batches; keepers borrow from those of other data centres.
// docs/design/shared-limits.md has the reasons.
package zlsharedrate

import (
	"math"
	"slices"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// Key identifies a shared rate.
type Key uint64

// OrganisationKey returns the key of an organisation's limit.
func OrganisationKey(o zlunit.Organisation) Key {
	return Key(zlroster.KeyOf("organisation/" + string(o)))
}

// Limit is what all VMs together may grant.
type Limit struct {
	// Rate is in tokens a second, Burst how many besides at once.
	Rate  float64
	Burst float64
}

// Member is one of the VMs that share the rates.
type Member struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	Address    string
}

// Verdict is the answer to Take.
type Verdict struct {
	// Granted is set if the caller has a token; otherwise RetryAfter is when to come back.
	Granted    bool
	RetryAfter time.Duration
	// NoKeeper is set if it was denied since this VM neither has a VM count nor reaches a
	// keeper, which says nothing of the limit.
	NoKeeper bool
	// Token is what Return needs.
	Token Token
}

// Token is a token that was granted. The zero value can't be returned.
type Token struct {
	// expires is when it expires, also after it was returned and granted again.
	expires time.Time
}

// Ticket identifies a request that waits; 0 means none.
type Ticket uint64

// Node is one VM's part in sharing rates. The exported fields must be set before use. It
// is not safe for concurrent use; after each call the messages of Out must be sent.
type Node struct {
	Self Member
	// Slack is how many requests the deployment tolerates over a limit.
	Slack float64
	// TokenLife is how long a VM may keep tokens; 0 means maxTokenLife.
	TokenLife time.Duration
	// Limit returns the limit of a key; false if there is none.
	Limit func(k Key) (Limit, bool)
	// Random returns a number in [0, 1).
	Random func() float64
	// OnKeeper is called when a keeper is lost or answers again; may be nil.
	OnKeeper func(vm zlunit.VM, lost bool)

	// now is the time of the current call, steppedAt that of the last one.
	now       time.Time
	steppedAt time.Time
	// vms are the VMs by data centre, total their number. Before the first VM count, total is
	// 0 and vms holds those of this data centre that wrote to this VM.
	vms   map[zlunit.DataCentre][]zlunit.VM
	total int
	// ranked holds what candidates computed: to sort 220 VMs for each question would take
	// more time than all else.
	ranked map[place][]zlunit.VM
	// shareSince is when this VM began to have a share; zero while it has none.
	shareSince time.Time
	clients    map[Key]*client
	owns       map[Key]*ownBucket
	keepers    map[Key]*keeper
	// busy are the keys for which a request or another VM waits.
	busy    map[Key]struct{}
	sweptAt time.Time
	// silent are the VMs that did not answer.
	silent map[zlunit.VM]*silence
	// tickets counts the requests that waited.
	tickets  Ticket
	sequence uint32
	// rounds holds until when the shares of recent rounds last, and roundAt is the time of
	// the last round for all keys.
	rounds   map[uint32]time.Time
	roundAt  time.Time
	out      map[zlunit.VM][]*Message
	outOrder []zlunit.VM
}

// silence counts the questions that a VM did not answer.
type silence struct {
	misses int
	until  time.Time
}

// init makes the maps.
func (n *Node) init() {
	if n.out != nil {
		return
	}
	n.out = map[zlunit.VM][]*Message{}
	n.vms = map[zlunit.DataCentre][]zlunit.VM{}
	n.ranked = map[place][]zlunit.VM{}
	if n.TokenLife <= 0 {
		n.TokenLife = maxTokenLife
	}
	n.clients = map[Key]*client{}
	n.owns = map[Key]*ownBucket{}
	n.keepers = map[Key]*keeper{}
	n.busy = map[Key]struct{}{}
	n.silent = map[zlunit.VM]*silence{}
	n.rounds = map[uint32]time.Time{}
	// Another incarnation of this VM must not use the same numbers.
	n.sequence = uint32(n.Random() * math.MaxUint32)
}

// TokenLife returns how long a VM may keep tokens if in a window a share overage of a limit
// may be granted besides it.
func TokenLife(window time.Duration, overage float64) time.Duration {
	return max(min(time.Duration(overage*float64(window)), maxTokenLife), minTokenLife)
}

// SetMembers sets the VMs that share the rates. counted is set if all of them count this
// one, which has no share before.
func (n *Node) SetMembers(members []Member, counted bool, now time.Time) {
	n.advance(now)
	n.vms = map[zlunit.DataCentre][]zlunit.VM{}
	for _, m := range members {
		n.vms[m.DataCentre] = append(n.vms[m.DataCentre], m.VM)
	}
	n.total = len(members)
	n.ranked = map[place][]zlunit.VM{}
	known := slices.Contains(n.vms[n.Self.DataCentre], n.Self.VM)
	switch {
	case !counted || !known:
		n.shareSince = time.Time{}
	case n.shareSince.IsZero():
		n.shareSince = now
	}
}

// advance sets the time. After a pause of the process nothing that it held is used: other
// VMs may have granted the same meanwhile.
func (n *Node) advance(now time.Time) {
	n.init()
	n.now = now
	if !n.steppedAt.IsZero() && !n.Idle() {
		if gap := zltimer.Elapsed(n.steppedAt, now); gap > pauseTime {
			n.forget(gap)
		}
	}
	n.steppedAt = now
}

// forget empties all buckets.
func (n *Node) forget(pause time.Duration) {
	for _, c := range n.clients {
		c.batches = nil
		clear(c.late)
	}
	for _, o := range n.owns {
		o.level = 0
		o.at = n.now
	}
	for _, k := range n.keepers {
		k.level = 0
		k.at = n.now
		clear(k.shares)
	}
	clear(n.rounds)
	n.roundAt = time.Time{}
	if !n.shareSince.IsZero() {
		n.shareSince = n.now
	}
	if pause > longPause {
		n.shareSince = time.Time{}
	}
}

// Handle takes a message of another VM.
func (n *Node) Handle(from zlunit.VM, m *Message, now time.Time) {
	n.advance(now)
	n.handle(from, m, now)
}

func (n *Node) handle(from zlunit.VM, m *Message, now time.Time) {
	n.heard(from)
	n.Meet(from)
	for i := range m.Asks {
		n.handleAsk(from, &m.Asks[i])
	}
	for i := range m.Answers {
		n.handleAnswer(from, &m.Answers[i])
	}
	if m.Collect != nil {
		n.handleCollect(from, m.Collect)
	}
	if m.Delegation != nil {
		n.handleDelegation(from, m.Delegation, now)
	}
}

// Step does what is due. It must be called several times a second, and each
// few milliseconds while Waiting.
func (n *Node) Step(now time.Time) {
	n.advance(now)
	if now.Sub(n.sweptAt) < sweepPeriod {
		for _, key := range sortedKeys(n.busy) {
			n.step(key)
		}
		return
	}
	n.sweptAt = now
	for _, key := range sortedKeys(n.clients) {
		n.step(key)
	}
	for _, key := range sortedKeys(n.keepers) {
		n.step(key)
	}
	n.stepRound()
	for key, o := range n.owns {
		if o.idle(n, key) {
			delete(n.owns, key)
		}
	}
}

// step does what is due for a key.
func (n *Node) step(key Key) {
	delete(n.busy, key)
	if c, ok := n.clients[key]; ok {
		n.stepClient(key, c)
		if len(c.waiters) > 0 {
			n.busy[key] = struct{}{}
		}
	}
	if k, ok := n.keepers[key]; ok {
		n.stepKeeper(k)
		if len(k.pending) > 0 {
			n.busy[key] = struct{}{}
		}
	}
}

// Waiting reports whether a request or another VM may wait for this one.
func (n *Node) Waiting() bool {
	return len(n.busy) > 0
}

// Idle reports whether there is nothing to do before the next call or message; Step need not
// be called then.
func (n *Node) Idle() bool {
	return len(n.clients) == 0 && len(n.keepers) == 0 && len(n.owns) == 0
}

// place is a key in a data centre.
type place struct {
	key        Key
	dataCentre zlunit.DataCentre
}

// candidates returns the VMs of a data centre that may be the keeper of a key, in order.
func (n *Node) candidates(key Key, dc zlunit.DataCentre) []zlunit.VM {
	p := place{
		key:        key,
		dataCentre: dc,
	}
	list, ok := n.ranked[p]
	if !ok {
		if len(n.ranked) >= maxRanked {
			clear(n.ranked)
		}
		list = zlroster.Rank(uint64(key), n.vms[dc])
		list = slices.Clone(list[:min(len(list), maxCandidates)])
		n.ranked[p] = list
	}
	return list
}

// heard takes note that a VM is alive.
func (n *Node) heard(vm zlunit.VM) {
	s, ok := n.silent[vm]
	if !ok {
		return
	}
	delete(n.silent, vm)
	if s.misses >= silentMisses && n.OnKeeper != nil {
		n.OnKeeper(vm, false)
	}
}

// Meet takes note of a VM before the first VM count. It may be asked for tokens: those that
// write to a VM without a count are of its data centre. This one is no keeper meanwhile.
func (n *Node) Meet(vm zlunit.VM) {
	n.init()
	dc := n.Self.DataCentre
	if n.total > 0 || vm == n.Self.VM || len(n.vms[dc]) >= maxGuests || slices.Contains(n.vms[dc], vm) {
		return
	}
	n.vms[dc] = append(n.vms[dc], vm)
	clear(n.ranked)
}

// knowsVMs reports whether there are VMs to ask.
func (n *Node) knowsVMs() bool {
	return n.total > 0 || len(n.vms[n.Self.DataCentre]) > 0
}

// missed takes note that a VM did not answer.
func (n *Node) missed(vm zlunit.VM) {
	s, ok := n.silent[vm]
	if !ok {
		s = &silence{}
		n.silent[vm] = s
	}
	s.misses++
	if s.misses < silentMisses {
		return
	}
	if s.misses == silentMisses && n.OnKeeper != nil {
		n.OnKeeper(vm, true)
	}
	s.until = n.now.Add(silentTime)
}

func (n *Node) isSilent(vm zlunit.VM) bool {
	s, ok := n.silent[vm]
	return ok && n.now.Before(s.until)
}

// bucketSize returns how many tokens all buckets of a limit hold together.
func (n *Node) bucketSize(l Limit) float64 {
	return max(l.Burst+slackShare*n.Slack, 1)
}
