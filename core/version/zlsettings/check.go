package zlsettings

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

const (
	// maxDepth is the greatest number of levels in a path.
	maxDepth = 4
	// maxNameBytes is the greatest length of one name in a path, in bytes.
	maxNameBytes = 63
	// maxNodes is the greatest number of nodes in a tree.
	maxNodes = 10000

	// pathAllowed describes a valid path in error messages.
	pathAllowed = "deployment[/dataCentre[/service[/queryKind]]], each a name of 1 to 63 letters, digits and '-', or '*' for any data centre"
)

// Check returns all faults of the tree, one line each and sorted; nil if there are none.
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

// valid reports whether the path has 1 to maxDepth valid names.
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

// validName reports whether s is 1 to maxNameBytes ASCII letters, digits and hyphens.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
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

// Keys returns the keys that a tree may set, sorted.
func Keys() []Key {
	keys := make([]Key, 0, len(specs))
	for key := range specs {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ParsePlace parses a place from a path without '*', and returns false if text is not
// one. Missing levels are empty.
func ParsePlace(text string) (Place, bool) {
	parts := strings.Split(text, "/")
	if !Path(text).valid() || strings.Contains(text, AnyDataCentre) {
		return Place{}, false
	}
	for len(parts) < maxDepth {
		parts = append(parts, "")
	}
	return newPlace(parts), true
}
