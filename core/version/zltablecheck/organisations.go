package zltablecheck

import (
	"fmt"
	"slices"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

// minBurst is the least number of requests, a second or at once, that a limit should allow:
// below one request it refuses a caller who sends single requests.
const minBurst = 1

func (c *Checker) checkOrganisations(r *Report) {
	owners := c.owners()
	for i := range c.Table.Organisations {
		o := &c.Table.Organisations[i]
		if o.Name == "" {
			continue
		}
		at := fmt.Sprintf("organisation %q", o.Name)
		keys := distinct(o.Keys)
		shared := 0
		var sharers []zlunit.Organisation
		for _, k := range keys {
			if len(owners[k]) > 1 {
				shared++
				sharers = append(sharers, owners[k]...)
			}
		}
		if shared > 0 {
			slices.Sort(sharers)
			r.Errorf(KindKeys, at, "%d of its keys are listed by several and belong to none: %q", shared, slices.Compact(sharers))
		}
		if len(keys) == shared {
			r.Warnf(KindKeys, at, "it has no key that callers can use")
		}
		switch {
		case o.Rate == 0 && o.Burst > 0:
			r.Warnf(KindLimit, at, "it has a burst but no rate, and therefore no limit")
		case o.Rate > 0 && o.Rate < minBurst && o.Burst < minBurst:
			r.Warnf(KindLimit, at, "its rate %v/s and burst %v are both below one request", o.Rate, o.Burst)
		}
	}
}

// owners returns the names of the organisations that list each key.
func (c *Checker) owners() map[zltable.KeyDigest][]zlunit.Organisation {
	out := map[zltable.KeyDigest][]zlunit.Organisation{}
	for i := range c.Table.Organisations {
		o := &c.Table.Organisations[i]
		for _, k := range distinct(o.Keys) {
			if o.Name != "" {
				out[k] = append(out[k], o.Name)
			}
		}
	}
	return out
}

// distinct returns the keys without repetitions.
func distinct(keys []zltable.KeyDigest) []zltable.KeyDigest {
	out := slices.SortedFunc(slices.Values(keys), func(a, b zltable.KeyDigest) int {
		return slices.Compare(a[:], b[:])
	})
	return slices.Compact(out)
}
