package zlsharedrate

import (
	"math"
	"slices"

	"zinnialock/core/process/zlunit"
)

// milliTokens is a number of tokens in thousandths.
type milliTokens int64

// tokenUnit is one token.
const tokenUnit milliTokens = 1000

// toMilli rounds down, except for what a conversion loses: no more may be given than is
// there.
func toMilli(tokens float64) milliTokens {
	return milliTokens(tokens*float64(tokenUnit) + 1e-6)
}

// toMilliUp rounds up: with less than it asks for, a keeper would not have a whole token.
func toMilliUp(tokens float64) milliTokens {
	return milliTokens(math.Ceil(tokens * float64(tokenUnit)))
}

func (m milliTokens) tokens() float64 {
	return float64(max(m, 0)) / float64(tokenUnit)
}

// Message is all that one VM sends to another at one moment.
type Message struct {
	Asks    []Ask    `cbor:"1,keyasint,omitempty"`
	Answers []Answer `cbor:"2,keyasint,omitempty"`
	// Collect asks for shares; Delegation gives them.
	Collect    *Collect    `cbor:"3,keyasint,omitempty"`
	Delegation *Delegation `cbor:"4,keyasint,omitempty"`
}

// Ask asks a keeper for tokens.
type Ask struct {
	Key Key `cbor:"1,keyasint"`
	// Sequence identifies the ask at its sender.
	Sequence uint32      `cbor:"2,keyasint"`
	Amount   milliTokens `cbor:"3,keyasint"`
	// Lend is set if the sender is a keeper. It gets what the receiver holds, also less
	// than a token, and the receiver does not borrow for it.
	Lend bool `cbor:"4,keyasint,omitempty"`
}

// Answer answers an Ask. An Amount of 0 is a denial.
type Answer struct {
	Key      Key         `cbor:"1,keyasint"`
	Sequence uint32      `cbor:"2,keyasint"`
	Amount   milliTokens `cbor:"3,keyasint,omitempty"`
	// Refill is how many tokens a second the keeper collects; to a VM, its part of those
	// of all keepers.
	Refill milliTokens `cbor:"4,keyasint,omitempty"`
	// WaitMillis is the time until the keeper expects a token, in milliseconds.
	WaitMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Collect asks the VMs of a data centre for their shares of the rates of keys.
type Collect struct {
	// Round identifies this message at its sender.
	Round uint32 `cbor:"1,keyasint"`
	// LeaseMillis is how long the shares are asked for, in milliseconds.
	LeaseMillis uint32 `cbor:"2,keyasint"`
	Keys        []Key  `cbor:"3,keyasint"`
}

// Delegation answers a Collect.
type Delegation struct {
	Round  uint32          `cbor:"1,keyasint"`
	Shares []DelegatedItem `cbor:"2,keyasint"`
}

// DelegatedItem is what a VM delegates of one key; both numbers are 0 if it delegates
// nothing.
type DelegatedItem struct {
	Key Key `cbor:"1,keyasint"`
	// Level are the tokens that the VM had saved up.
	Level milliTokens `cbor:"2,keyasint,omitempty"`
	// Percent is the part of its share that it delegates.
	Percent uint8 `cbor:"3,keyasint,omitempty"`
}

// Envelope is a message with its destination.
type Envelope struct {
	To      zlunit.VM
	Message *Message
}

// addressed returns the message to a VM that is to be sent next, or a new one if the last
// is taken according to full.
func (n *Node) addressed(vm zlunit.VM, full func(m *Message) bool) *Message {
	list := n.out[vm]
	if len(list) == 0 {
		n.outOrder = append(n.outOrder, vm)
	}
	if len(list) == 0 || full != nil && full(list[len(list)-1]) {
		list = append(list, &Message{})
		n.out[vm] = list
	}
	return list[len(list)-1]
}

// Out returns the messages to send.
func (n *Node) Out() []Envelope {
	n.init()
	for len(n.out[n.Self.VM]) > 0 {
		list := n.out[n.Self.VM]
		n.dropOut(n.Self.VM)
		for _, m := range list {
			n.handle(n.Self.VM, m, n.now)
		}
	}
	var out []Envelope
	for _, vm := range n.outOrder {
		for _, m := range n.out[vm] {
			out = append(out, Envelope{
				To:      vm,
				Message: m,
			})
		}
	}
	clear(n.out)
	n.outOrder = n.outOrder[:0]
	return out
}

// dropOut drops the messages to a VM.
func (n *Node) dropOut(vm zlunit.VM) {
	delete(n.out, vm)
	n.outOrder = slices.DeleteFunc(n.outOrder, func(other zlunit.VM) bool {
		return other == vm
	})
}
