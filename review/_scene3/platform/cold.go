package main

import (
	"sort"
	"time"
)

// coldBound is the bound of the rule FAILBACK.
func coldBound(warmupPerS float64) float64 {
	const factor, slack = 1.5, 5
	return warmupPerS*factor + slack
}

// checkCold checks the rule FAILBACK: a cold replica gets no more requests in one second
// than the bound, of those that were sent and arrived inside that second. It returns the
// number of replicas at which it was broken.
func (w *world) checkCold(replicas []*replica, sent map[string]attempt, warmupPerS float64) int {
	broken := 0
	for _, r := range replicas {
		var list []arrival
		for _, a := range r.arrived() {
			if a.cold {
				list = append(list, a)
			}
		}
		sort.Slice(list, func(i, k int) bool {
			return list[i].at.Before(list[k].at)
		})
		most, from := 0, time.Time{}
		for i := range list {
			// The second begins when the first of its requests was sent.
			begin := sent[list[i].id].sent
			n := 0
			for _, a := range list {
				if s, ok := sent[a.id]; ok && !s.sent.Before(begin) && a.at.Before(begin.Add(time.Second)) {
					n++
				}
			}
			if n > most {
				most, from = n, begin
			}
		}
		if most > 0 {
			w.noteAt(from, "%s (%s, %s): cold, at most %d requests in one second, allowed %.1f; %d while cold", r.id, r.service, r.zone, most, coldBound(warmupPerS), len(list))
		}
		if float64(most) > coldBound(warmupPerS) {
			broken++
		}
	}
	return broken
}
