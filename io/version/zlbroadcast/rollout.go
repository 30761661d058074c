package zlbroadcast

import (
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrollout"
)

// SendRolloutReport sends a report on roll-outs to some VMs, or to those of all data centres
// if to is nil. A VM that is not known gets none; loss is harmless.
func (b *Broadcaster) SendRolloutReport(to []zlunit.VM, report *zlrollout.Report) {
	m := &message{
		VM:        b.VM,
		AgeMicros: -1,
		Rollout:   report,
	}
	if to == nil {
		b.sendAll(m)
		return
	}
	m.Direct = true
	for _, vm := range to {
		if member, ok := b.PollPolicy.MemberOf(vm); ok {
			b.sendMessageTo(b.resolve(member.Address), m)
		}
	}
}

// handleRollout passes on the report in a message and reports whether there was one. Such a
// message has nothing else.
func (b *Broadcaster) handleRollout(m *message) bool {
	if m.Rollout == nil {
		return false
	}
	if b.OnRolloutReport != nil {
		b.OnRolloutReport(m.Rollout)
	}
	return true
}
