package zlquarantine

import "sync"

// knownState is whether this VM knows what the others have in quarantine.
type knownState struct {
	mu    sync.Mutex
	known chan struct{}
	done  bool
}

// Known returns a channel that is closed once this VM knows what the others have in
// quarantine. Until then a request that crashes replicas looks like any other.
func (l *Ledger) Known() <-chan struct{} {
	k := &l.known
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.channel()
}

// IsKnown reports whether the channel of Known is closed.
func (l *Ledger) IsKnown() bool {
	k := &l.known
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.done
}

// MarkKnown closes the channel of Known: another VM has told, or there is none that could.
func (l *Ledger) MarkKnown() {
	k := &l.known
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.done {
		k.done = true
		close(k.channel())
	}
}

// channel returns the channel. The caller holds mu.
func (k *knownState) channel() chan struct{} {
	if k.known == nil {
		k.known = make(chan struct{})
	}
	return k.known
}
