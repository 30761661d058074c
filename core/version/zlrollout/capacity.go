package zlrollout

// OnlyTarget reports whether Choose returns GroupTarget for each send now. Unlike Choose it
// uses up nothing of the target's share, so it may be called for requests that are not sent.
func (s *Split) OnlyTarget() bool {
	p := s.plan.Load()
	return p.hasTarget && (!p.hasBaseline || p.share >= 1)
}
