// Package zlrevision orders the revisions of the platform's store. The store may go back
// to a copy of itself that is some seconds old; it then gives out again the numbers of
// revisions that it lost, and only its era tells them apart.
package zlrevision

import "cmp"

// Era counts how often the store went back; 0 means that the store does not say so.
type Era uint64

// Number is the store's counter of changes within an era.
type Number uint64

// Revision is a state of the store. The zero value is before all others.
type Revision struct {
	Era    Era
	Number Number
}

// Compare returns a negative number if r is before other, 0 if they are equal, and a
// positive number if r is after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool {
	return r.Compare(other) < 0
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
