package zlsharedrate

import (
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
)

// ownBucket is this VM's share of a rate, as far as it is not delegated.
type ownBucket struct {
	level float64
	at    time.Time
	// keeper has the part percent of the share until the time until.
	keeper  zlunit.VM
	percent uint8
	until   time.Time
	// before is the percentage of the previous delegation if it was greater: the keeper
	// may count on it until beforeUntil, since the answer with the smaller one may be lost.
	before      uint8
	beforeUntil time.Time
	// preferred is a VM that goes before keeper and asked for the share at askedAt.
	preferred zlunit.VM
	askedAt   time.Time
}

// own returns the own bucket of a key, refilled; nil without a limit or a share. A bucket
// that was not needed yet has filled since the VM has a share.
func (n *Node) own(key Key) *ownBucket {
	l, ok := n.Limit(key)
	if !ok || n.shareSince.IsZero() || n.total == 0 {
		return nil
	}
	o, ok := n.owns[key]
	if !ok {
		o = &ownBucket{
			at: n.shareSince,
		}
		n.owns[key] = o
	}
	o.refill(n, l)
	return o
}

// refill adds what came in since the last time.
func (o *ownBucket) refill(n *Node, l Limit) {
	part := 1 / float64(n.total)
	free := max(n.now.Sub(o.at).Seconds(), 0)
	free -= o.overlap(n.now, o.until) * float64(o.percent) / 100
	if o.before > o.percent {
		free -= o.overlap(n.now, o.beforeUntil) * float64(o.before-o.percent) / 100
	}
	capacity := n.bucketSize(l) * part
	if n.now.Before(o.until) {
		capacity *= 1 - float64(o.percent)/100
	}
	o.level = min(o.level+l.Rate*part*max(free, 0), capacity)
	if n.now.After(o.at) {
		o.at = n.now
	}
}

// overlap returns the seconds from the last refill to now that lie before end.
func (o *ownBucket) overlap(now, end time.Time) float64 {
	if end.After(now) {
		end = now
	}
	return max(end.Sub(o.at).Seconds(), 0)
}

// takeOwn takes a token of this VM's share. alone is set if no keeper can be reached: a bucket that can't hold a
// whole token then grants one by chance.
func (n *Node) takeOwn(key Key, alone bool) bool {
	o := n.own(key)
	if o == nil {
		return false
	}
	if o.level >= 1 {
		o.level--
		return true
	}
	if l, _ := n.Limit(key); !alone || n.bucketSize(l) >= float64(n.total) {
		return false
	}
	chance := o.level * fractionUse
	o.level = 0
	return n.Random() < chance
}

// idle reports whether a bucket that is made anew would be the same.
func (o *ownBucket) idle(n *Node, key Key) bool {
	l, ok := n.Limit(key)
	if !ok {
		return !n.now.Before(o.until)
	}
	if n.shareSince.IsZero() || n.total == 0 || n.now.Before(o.until) {
		return false
	}
	o.refill(n, l)
	size := n.bucketSize(l)
	return o.level >= size/float64(n.total) && n.now.Sub(n.shareSince).Seconds()*l.Rate >= size
}

// handleCollect delegates this VM's shares of the keys to a keeper, unless another one
// has them.
func (n *Node) handleCollect(from zlunit.VM, m *Collect) {
	lease := time.Duration(m.LeaseMillis) * time.Millisecond
	d := &Delegation{
		Round: m.Round,
	}
	for _, key := range m.Keys[:min(len(m.Keys), maxKeysPerMessage)] {
		d.Shares = append(d.Shares, n.delegate(key, from, lease))
	}
	n.addressed(from, func(to *Message) bool {
		return to.Delegation != nil
	}).Delegation = d
}

// delegate gives a keeper this VM's share of a key, or nothing if another one has it.
func (n *Node) delegate(key Key, to zlunit.VM, lease time.Duration) DelegatedItem {
	item := DelegatedItem{
		Key: key,
	}
	o := n.own(key)
	if o == nil || lease <= 0 || lease > maxLease {
		return item
	}
	held := n.now.Before(o.until)
	if held && o.keeper != to {
		if zlroster.CompareRank(uint64(key), to, o.keeper) < 0 && !n.prefers(o, key, to, lease) {
			o.preferred = to
			o.askedAt = n.now
		}
		return item
	}
	if n.prefers(o, key, to, lease) {
		// The VM that goes before this one collects as well, and gets the share once
		// this one's delegation has ended.
		return item
	}
	percent := uint8(100 - n.keptPart(key))
	if held && percent < o.percent {
		if !n.now.Before(o.beforeUntil) {
			o.before = 0
		}
		o.before = max(o.before, o.percent)
		o.beforeUntil = o.until
	}
	o.keeper = to
	o.percent = percent
	o.until = n.now.Add(lease + time.Duration(clockMargin*float64(lease)))
	given := o.level * float64(percent) / 100
	o.level -= given
	item.Level = toMilli(given)
	item.Percent = o.percent
	return item
}

// prefers reports whether a VM that goes before another one asked for the share lately.
func (n *Node) prefers(o *ownBucket, key Key, to zlunit.VM, lease time.Duration) bool {
	return o.preferred != "" && n.now.Sub(o.askedAt) < lease && zlroster.CompareRank(uint64(key), o.preferred, to) < 0
}

// keptPart returns the percentage of its share of a key that this VM keeps, since its own
// callers use it. Without it, VMs whose callers use most of all shares would ask their
// keepers for each request.
func (n *Node) keptPart(key Key) int {
	l, _ := n.Limit(key)
	c, ok := n.clients[key]
	if !ok || n.bucketSize(l) < keptTokens*float64(n.total) {
		return 0
	}
	share := l.Rate / float64(n.total)
	kept := min(keptFactor*c.demand(n.now)/share, 1)
	if kept*n.bucketSize(l) < keptTokens*float64(n.total) {
		return 0
	}
	return int(100 * kept)
}
