package zltablecheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"zinnialock/core/version/zltable"
)

// Change is one entry that differs between the table in force and the checked one.
type Change struct {
	// What is added, removed or changed.
	What string `json:"what"`
	// Entry is the kind of entry and its name.
	Entry string `json:"entry"`
	// Details are the fields that differ.
	Details []string `json:"details,omitempty"`
}

// compare returns the changes by kind of entry and name.
func compare(before, after *zltable.Table) []Change {
	old, now := entriesOf(before), entriesOf(after)
	all := maps.Clone(old)
	maps.Copy(all, now)
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		c := Change{
			What:  "changed",
			Entry: name,
		}
		switch {
		case old[name] == nil:
			c.What = "added"
		case now[name] == nil:
			c.What = "removed"
		default:
			c.Details = compareFields(reflect.ValueOf(old[name]), reflect.ValueOf(now[name]))
			if len(c.Details) == 0 {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

// entriesOf returns the structs of a table by kind and name. Routes of the same name are
// numbered from the second one on.
func entriesOf(t *zltable.Table) map[string]any {
	out := map[string]any{
		"limits": t.Limits,
	}
	for i := range t.Routes {
		name := place(&t.Routes[i])
		for n := 2; out[name] != nil; n++ {
			name = fmt.Sprintf("%s (%d)", place(&t.Routes[i]), n)
		}
		out[name] = t.Routes[i]
	}
	for name, s := range t.Services {
		out[fmt.Sprintf("service %q", name)] = s
	}
	for _, o := range t.Organisations {
		if o.Name != "" {
			out[fmt.Sprintf("organisation %q", o.Name)] = o
		}
	}
	return out
}

// compareFields describes the fields that differ between two structs of the same type. It
// reads them by reflection, so that no later field is left out.
func compareFields(old, now reflect.Value) []string {
	var out []string
	for i := range old.NumField() {
		name, a, b := old.Type().Field(i).Name, old.Field(i).Interface(), now.Field(i).Interface()
		if keys, ok := a.([]zltable.KeyDigest); ok {
			added, removed := without(b.([]zltable.KeyDigest), keys), without(keys, b.([]zltable.KeyDigest))
			if added+removed > 0 {
				out = append(out, fmt.Sprintf("%s: %d added, %d removed", name, added, removed))
			}
		} else if !reflect.DeepEqual(a, b) {
			out = append(out, fmt.Sprintf("%s: %v -> %v", name, a, b))
		}
	}
	return out
}

// without returns how many keys are not in the others.
func without(keys, others []zltable.KeyDigest) int {
	return len(slices.DeleteFunc(distinct(keys), func(k zltable.KeyDigest) bool {
		return slices.Contains(others, k)
	}))
}
