package zlrollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// request sends one request from a VM, as the relay does.
func (f *fleet) request(v *vm) {
	if v.dead {
		return
	}
	route := f.random.IntN(4)
	split := v.Split(docs)
	g := GroupBaseline
	if split != nil {
		g = split.Choose(f.random.Float64())
	}
	var list []*zlregistry.Entry
	for _, e := range f.replicas {
		if split == nil || split.Allows(e, g) {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return
	}
	e := list[f.random.IntN(len(list))]
	if split != nil {
		split.Sent(g, e.Build)
		f.after(f.between(5*time.Millisecond, 40*time.Millisecond), func() { split.Ended(e.Build) })
	}
	l := f.loads[e.ID]
	l.value = l.value*math.Exp(-time.Since(l.at).Seconds()) + 1
	l.at = time.Now()
	group := GroupBaseline
	if e.Build == newOne {
		group = GroupTarget
	}
	out, took := f.respond(group, route, l.value)
	if took == 0 {
		took = f.between(5*time.Millisecond, 15*time.Millisecond)
	}
	v.Record(docs, zltable.RouteName(fmt.Sprint("route", route)), e.Build, out, took)
	if !v.cut && time.Since(f.start) < f.duration {
		f.count(group, out == OutcomeFailed || took > 30*time.Millisecond)
		inContact := time.Since(v.contact) > defaultConfigApply
		if inContact && slices.Contains(f.outcomes, StateCompleted) && e.Build != f.object.ID.Target {
			f.stopped++
		}
	}
}

func (f *fleet) count(g Group, bad bool) {
	f.total++
	if g == GroupBaseline {
		return
	}
	f.target++
	if !f.fiftieth.IsZero() && time.Since(f.fiftieth) > 5*time.Second {
		f.late++
	}
	if bad {
		if f.bad++; f.bad == 50 {
			f.fiftieth = time.Now()
		}
	}
}
