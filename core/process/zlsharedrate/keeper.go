package zlsharedrate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

// keeper collects the shares of one key in this VM's data centre and grants from them.
type keeper struct {
	key   Key
	level float64
	at    time.Time
	// shares are the delegations, by VM.
	shares map[zlunit.VM]share
	// askedAt is when a VM or another keeper last asked.
	askedAt time.Time
	// collects is set once it was asked for more than what it holds.
	collects bool
	// collectedAt is when shares were last asked for, and awaited the number of VMs that
	// did not answer yet.
	collectedAt time.Time
	awaited     int
	pending     []pendingAsk
	borrow      borrow
	// borrowed is the part of level that may be above the size of the bucket.
	borrowed float64
	// refills are the rates at which other keepers collect, in tokens a second.
	refills map[zlunit.VM]refill
	// askers are the VMs that asked lately.
	askers map[zlunit.VM]time.Time
}

// share is what one VM delegated.
type share struct {
	part  float64
	until time.Time
	round uint32
}

// refill is the rate of another keeper as of a time.
type refill struct {
	rate float64
	at   time.Time
}

// pendingAsk is an ask that is not answered yet.
type pendingAsk struct {
	Ask
	from     zlunit.VM
	deadline time.Time
}

// borrow is the state of borrowing from other keepers.
type borrow struct {
	// asked holds the sequences of the open questions, by lender.
	asked map[zlunit.VM]uint32
	until time.Time
	// next is when the keeper may borrow again.
	next time.Time
	// amount is what each lender was asked for, and enough is set if one gave all of it.
	amount milliTokens
	enough bool
}

// keeperOf returns the state as the keeper of a key; it starts with an empty bucket.
func (n *Node) keeperOf(key Key) *keeper {
	k, ok := n.keepers[key]
	if !ok {
		k = &keeper{
			key:     key,
			at:      n.now,
			shares:  map[zlunit.VM]share{},
			refills: map[zlunit.VM]refill{},
			askers:  map[zlunit.VM]time.Time{},
		}
		n.keepers[key] = k
	}
	return k
}

// refill adds what the shares brought since the last time. Those that ended meanwhile
// don't count. Tokens above the size of the bucket are lost, except for borrowed ones;
// while no VM delegates, the level is kept for the next round.
func (k *keeper) refill(n *Node, l Limit) {
	part := k.part(n)
	size := n.bucketSize(l)
	capacity := size*part + k.borrowed
	if part > 0 && n.now.Sub(k.collectedAt) >= collectTime {
		k.level = min(k.level, capacity)
	}
	k.level = min(k.level, size)
	if n.now.After(k.at) {
		k.level = min(k.level+l.Rate*part*n.now.Sub(k.at).Seconds(), max(k.level, capacity))
		k.at = n.now
	}
}

// part returns the part of the whole rate that is delegated to this VM.
func (k *keeper) part(n *Node) float64 {
	sum := 0.0
	for vm, s := range k.shares {
		if zltimer.Remaining(n.now, s.until) <= 0 {
			delete(k.shares, vm)
			continue
		}
		sum += s.part
	}
	return sum / float64(max(n.total, 1))
}

// activeTime returns how long after the last question a keeper collects: until a bucket
// is full. The own buckets of the VMs fill only from then on.
func (n *Node) activeTime(l Limit) time.Duration {
	fill := time.Duration(n.bucketSize(l) / max(l.Rate, 1e-3) * float64(time.Second))
	return min(max(fill+time.Second, minActiveTime), maxActiveTime)
}

// handleAsk takes the question of a VM, or of another keeper. A key that is not known here
// yet is not answered, so that the next VM is asked.
func (n *Node) handleAsk(from zlunit.VM, a *Ask) {
	l, ok := n.Limit(a.Key)
	if !ok || a.Amount <= 0 || n.total == 0 {
		return
	}
	k := n.keeperOf(a.Key)
	wait := collectTime + borrowTime
	if a.Lend {
		wait = collectTime
	} else {
		k.askers[from] = n.now
	}
	// A keeper of this data centre collects itself; this VM only gives it what it held.
	collects := !a.Lend || !slices.Contains(n.vms[n.Self.DataCentre], from)
	if collects || k.askedAt.IsZero() {
		k.askedAt = n.now
	}
	k.refill(n, l)
	n.busy[a.Key] = struct{}{}
	k.pending = append(k.pending, pendingAsk{
		Ask:      *a,
		from:     from,
		deadline: n.now.Add(wait),
	})
	if collects {
		k.collects = true
		n.collectIfDue(k)
	}
	n.serve(k, l)
	if !a.Lend && k.level < borrowShare*n.bucketSize(l)*k.part(n) {
		// In good time: a full bucket elsewhere would lose its refill.
		n.borrowing(k, l)
	}
}

// collectIfDue asks for shares when the keeper starts to be asked, and early when it is
// short.
func (n *Node) collectIfDue(k *keeper) {
	since, period := n.now.Sub(k.collectedAt), n.collectPeriod()
	if k.collectedAt.IsZero() || since > 2*period || k.level < 1 && since >= period/earlyPeriods {
		n.collect([]Key{k.key})
	}
}

// collectPeriod returns the time between rounds.
func (n *Node) collectPeriod() time.Duration {
	vms := len(n.vms[n.Self.DataCentre])
	return min(max(collectPeriod, time.Duration(vms)*collectPeriodPerVM), maxCollectPeriod)
}

// collect asks all VMs of the data centre for their shares of keys.
func (n *Node) collect(keys []Key) {
	lease := n.collectPeriod() * leaseQuarters / 4
	vms := n.vms[n.Self.DataCentre]
	for part := range slices.Chunk(keys, maxKeysPerMessage) {
		n.sequence++
		n.rounds[n.sequence] = n.now.Add(lease)
		m := &Collect{
			Round:       n.sequence,
			LeaseMillis: uint32(lease.Milliseconds()),
			Keys:        part,
		}
		for _, vm := range vms {
			n.addressed(vm, func(to *Message) bool {
				return to.Collect != nil
			}).Collect = m
		}
	}
	for _, key := range keys {
		k := n.keepers[key]
		k.collectedAt = n.now
		k.awaited = len(vms)
	}
}

// handleDelegation takes shares. They last from when they were asked for, which is before
// the VM gave them, and each answer counts once.
func (n *Node) handleDelegation(from zlunit.VM, d *Delegation, now time.Time) {
	until, ok := n.rounds[d.Round]
	if !ok || !slices.Contains(n.vms[n.Self.DataCentre], from) {
		return
	}
	for _, item := range d.Shares {
		k, ok := n.keepers[item.Key]
		l, limited := n.Limit(item.Key)
		if !ok || !limited || zltimer.Remaining(now, until) <= 0 {
			continue
		}
		k.awaited--
		s, had := k.shares[from]
		if had && int32(d.Round-s.round) <= 0 {
			continue
		}
		k.refill(n, l)
		// A VM that delegates nothing more still keeps to what it delegated before.
		if item.Percent > 0 {
			k.shares[from] = share{
				part:  float64(min(item.Percent, 100)) / 100,
				until: until,
				round: d.Round,
			}
			capacity := max(n.bucketSize(l)*k.part(n), k.level)
			k.level = min(k.level+item.Level.tokens(), capacity)
		}
		n.serve(k, l)
	}
}

// stepKeeper answers the questions that are due, and forgets a key that no VM asks for
// once the own buckets of the VMs have filled.
func (n *Node) stepKeeper(k *keeper) {
	l, ok := n.Limit(k.key)
	if !ok {
		delete(n.keepers, k.key)
		return
	}
	if n.now.Sub(k.askedAt) > 2*n.activeTime(l)+n.collectPeriod() {
		delete(n.keepers, k.key)
		return
	}
	k.refill(n, l)
	if len(k.borrow.asked) > 0 && !n.now.Before(k.borrow.until) {
		n.endBorrow(k, l)
	}
	n.serve(k, l)
}

// stepRound starts a round for all keys that are in use.
func (n *Node) stepRound() {
	if n.now.Sub(n.roundAt) < n.collectPeriod() {
		return
	}
	var keys []Key
	for key, k := range n.keepers {
		l, ok := n.Limit(key)
		if ok && k.collects && n.now.Sub(k.askedAt) <= n.activeTime(l) && n.now.Sub(k.collectedAt) >= n.collectPeriod()/2 {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	maps.DeleteFunc(n.rounds, func(_ uint32, until time.Time) bool {
		return n.now.After(until)
	})
	slices.Sort(keys)
	n.roundAt = n.now
	n.collect(keys)
}

// serve answers the questions that can be answered, those of VMs in their order.
func (n *Node) serve(k *keeper, l Limit) {
	waits := false
	k.pending = slices.DeleteFunc(k.pending, func(a pendingAsk) bool {
		if a.Lend {
			return n.lend(k, l, &a)
		}
		waits = waits || !n.answer(k, l, &a)
		return !waits
	})
}

// lend answers another keeper, or returns false if it has to wait. Of two keepers that
// borrow from each other one gives what it holds.
func (n *Node) lend(k *keeper, l Limit, a *pendingAsk) bool {
	amount := min(k.level, a.Amount.tokens())
	if len(k.borrow.asked) > 0 && n.now.Before(k.borrow.until) && a.from > n.Self.VM {
		amount = 0
	} else if k.level < a.Amount.tokens() && k.collecting(n) && n.now.Before(a.deadline) {
		return false
	}
	n.grant(k, l, a, amount)
	return true
}

// collecting reports whether shares may still arrive.
func (k *keeper) collecting(n *Node) bool {
	return k.awaited > 0 && n.now.Sub(k.collectedAt) < collectTime
}

// answer answers a VM, or returns false if it has to wait.
func (n *Node) answer(k *keeper, l Limit, a *pendingAsk) bool {
	switch {
	case k.level >= 1:
		n.grant(k, l, a, math.Floor(min(k.level, a.Amount.tokens())))
	case n.now.Before(a.deadline) && (k.collecting(n) || n.borrowing(k, l)):
		return false
	default:
		n.grant(k, l, a, 0)
	}
	return true
}

func (n *Node) grant(k *keeper, l Limit, a *pendingAsk, amount float64) {
	k.level -= amount
	k.borrowed = max(k.borrowed-amount, 0)
	g := Answer{
		Key:      a.Key,
		Sequence: a.Sequence,
		Amount:   toMilli(amount),
	}
	if own := l.Rate * k.part(n); a.Lend {
		g.Refill = toMilli(own)
	} else if amount < 1 {
		all := own + k.borrowedRefill(n.now)
		g.Refill = max(toMilli(all/float64(k.countAskers(n.now))), 1)
		wait := maxRetryAfter
		if all > 0 {
			ahead := float64(k.countAskers(n.now)) - k.level
			wait = min(time.Duration(ahead/all*float64(time.Second)), wait)
		}
		g.WaitMillis = uint32(max(wait.Milliseconds(), 1))
	}
	to := n.addressed(a.from, nil)
	to.Answers = append(to.Answers, g)
}

// borrowedRefill returns the rate at which the other keepers collect.
func (k *keeper) borrowedRefill(now time.Time) float64 {
	sum := 0.0
	for vm, r := range k.refills {
		if now.Sub(r.at) > minActiveTime {
			delete(k.refills, vm)
			continue
		}
		sum += r.rate
	}
	return sum
}

// countAskers returns the number of VMs that asked within demandTime, at least 1.
func (k *keeper) countAskers(now time.Time) int {
	maps.DeleteFunc(k.askers, func(_ zlunit.VM, at time.Time) bool {
		return now.Sub(at) > demandTime
	})
	return max(len(k.askers), 1)
}

func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[Key])
}
