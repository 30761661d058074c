package zlrollout

// NextIsTarget reports whether Choose returns GroupTarget for the next send. Unlike Choose it
// uses up nothing of the target's share, so it may be called for requests that may not be sent.
func (s *Split) NextIsTarget() bool {
	p := s.plan.Load()
	switch {
	case !p.hasTarget:
		return false
	case !p.hasBaseline || p.share >= 1:
		return true
	case p.share <= 0:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextQuota(p) > s.next
}
