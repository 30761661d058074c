package zlsharedrate

import (
	"maps"
	"slices"
	"time"

	"zinnialock/core/process/zlunit"
)

// ownLenders is how many VMs of its own data centre a keeper borrows from if it lacks
// shares: one of them may have been the keeper until now.
const ownLenders = 2

// borrowShare is the part of the size of its bucket that a keeper borrows at least.
const borrowShare = 0.5

// borrowing starts to borrow from other keepers if that may help, and reports whether
// there is an answer to wait for.
func (n *Node) borrowing(k *keeper, l Limit) bool {
	b := &k.borrow
	if len(b.asked) > 0 {
		if n.now.Before(b.until) {
			return true
		}
		n.endBorrow(k, l)
	}
	if n.now.Before(b.next) {
		return false
	}
	lenders := n.lenders(k)
	if len(lenders) == 0 {
		b.next = n.now.Add(maxDenyTime)
		return false
	}
	amount := 0.0
	for i := range k.pending {
		amount += k.pending[i].Amount.tokens()
	}
	// What one lender lacks another may have, so each is asked for all of it, and for so much
	// that the buckets of all fill again and not only this one.
	amount = max(max(amount, 1)-k.level, n.bucketSize(l)*k.part(n)*borrowShare)
	b.asked = map[zlunit.VM]uint32{}
	b.until = n.now.Add(borrowTime)
	b.amount = max(toMilliUp(amount), 1)
	b.next = time.Time{}
	b.enough = false
	for _, vm := range lenders {
		n.sequence++
		b.asked[vm] = n.sequence
		to := n.addressed(vm, nil)
		to.Asks = append(to.Asks, Ask{
			Key:      k.key,
			Sequence: n.sequence,
			Amount:   b.amount,
			Lend:     true,
		})
	}
	return true
}

// endBorrow ends borrowing; lenders that did not answer are late. Unless one of them gave
// all that was asked for, the next time is when there is likely to be a token.
func (n *Node) endBorrow(k *keeper, l Limit) {
	b := &k.borrow
	for _, vm := range slices.Sorted(maps.Keys(b.asked)) {
		n.missed(vm)
	}
	b.asked = nil
	wait := maxDenyTime
	if all := l.Rate*k.part(n) + k.borrowedRefill(n.now); all > 0 {
		wait = time.Duration(max(1-k.level, 0) / all * float64(time.Second))
	}
	b.next = n.now
	if !b.enough {
		b.next = n.now.Add(min(max(wait, minDenyTime), maxDenyTime))
	}
}

// lenders returns the keepers of the other data centres. While this VM has the shares of
// less than half of its data centre, the VMs that may have been the keeper before lend too.
func (n *Node) lenders(k *keeper) []zlunit.VM {
	var out []zlunit.VM
	for _, dc := range slices.Sorted(maps.Keys(n.vms)) {
		most := 1
		if dc == n.Self.DataCentre {
			if most = ownLenders; 2*len(k.shares) >= len(n.vms[dc]) {
				continue
			}
		}
		for _, vm := range n.candidates(k.key, dc) {
			if vm != n.Self.VM && !n.isSilent(vm) && most > 0 {
				out = append(out, vm)
				most--
			}
		}
	}
	return out
}

// handleLoan takes the answer of another keeper, and reports whether it is one.
func (n *Node) handleLoan(from zlunit.VM, g *Answer) bool {
	k, ok := n.keepers[g.Key]
	if !ok || k.borrow.asked[from] != g.Sequence || g.Sequence == 0 {
		return false
	}
	l, ok := n.Limit(g.Key)
	if !ok {
		return true
	}
	k.refill(n, l)
	k.level += g.Amount.tokens()
	k.borrowed += g.Amount.tokens()
	k.refills[from] = refill{
		rate: g.Refill.tokens(),
		at:   n.now,
	}
	k.borrow.enough = k.borrow.enough || g.Amount >= k.borrow.amount
	delete(k.borrow.asked, from)
	if len(k.borrow.asked) == 0 {
		n.endBorrow(k, l)
	}
	n.serve(k, l)
	return true
}
