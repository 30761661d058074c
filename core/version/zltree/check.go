package zltree

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

const (
	// maxDepth is the number of levels of a path.
	maxDepth = 4
	// maxName bounds one name of a path, in bytes.
	maxName = 63
	// maxNodes bounds the nodes of a tree.
	maxNodes = 10000

	pathAllowed = "deployment[/dataCentre[/service[/queryKind]]], each a name of 1 to 63 letters, digits and '-', or '*' for any data centre"
)

// Check lists every fault of the tree, one line each, in a fixed order.
func (t *Tree) Check() []string {
	var faults []string
	if len(t.Nodes) > maxNodes {
		faults = append(faults, fmt.Sprintf("found %d nodes, allowed is %d", len(t.Nodes), maxNodes))
	}
	for path, node := range t.Nodes {
		if !path.valid() {
			faults = append(faults, fmt.Sprintf("path %q: found %q, allowed is %s", path, path, pathAllowed))
		}
		for key, value := range node {
			if fault := checkValue(key, value); fault != "" {
				faults = append(faults, fmt.Sprintf("path %q: key %q: %s", path, key, fault))
			}
		}
	}
	sort.Strings(faults)
	return faults
}

func (p Path) valid() bool {
	parts := strings.Split(string(p), "/")
	if len(parts) > maxDepth {
		return false
	}
	for i, part := range parts {
		if i == 1 && part == AnyDataCentre {
			continue
		}
		if !validName(part) {
			return false
		}
	}
	return true
}

func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// Keys lists the keys that a tree may set, sorted.
func Keys() []Key {
	keys := make([]Key, 0, len(specs))
	for key := range specs {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ParsePlace reads a place from a path without '*'.
func ParsePlace(text string) (Place, bool) {
	parts := strings.Split(text, "/")
	if !Path(text).valid() || strings.Contains(text, AnyDataCentre) {
		return Place{}, false
	}
	for len(parts) < maxDepth {
		parts = append(parts, "")
	}
	return placeOf(parts), true
}
