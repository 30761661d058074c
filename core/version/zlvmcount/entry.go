package zlvmcount

import (
	"context"
	"errors"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlrevision"
)

// Incarnation identifies one process of a VM among all that it had.
type Incarnation int64

// Entry is what one VM registered in the store.
type Entry struct {
	VM         zlunit.VM
	DataCentre zlunit.DataCentre
	// Address is where the VM receives messages of other VMs.
	Address string
	// Incarnation is that of the process that wrote the entry.
	Incarnation Incarnation
	// Stopped is true if that process was stopped.
	Stopped bool
	// CountedFrom is from when all other VMs count this one, if it has an entry all the time
	// until then, and Written when this entry was written, both by the VM's wall clock; zero
	// if the writer did not say so.
	CountedFrom time.Time
	Written     time.Time
	// Era is that of the store as the writer knew it.
	Era zlrevision.Era
	// Revision is the store's revision of the last write.
	Revision zlrevision.Revision
}

// Listing is what the store lists.
type Listing struct {
	Entries []Entry
	// Era is that of the store.
	Era zlrevision.Era
}

// ErrChanged is returned by Store.Write if the store holds another state of the entry.
var ErrChanged = errors.New("zlvmcount: write: the entry has changed")

// Store is the platform's store of the entries.
type Store interface {
	// Own lists this VM's entry as the store holds it now, or nothing if it holds none.
	Own(ctx context.Context) (*Listing, error)
	// Write writes an entry of this VM and returns it as the store then holds it. The store
	// must hold the entry at e.Revision, or none if that is zero; otherwise Write returns
	// ErrChanged and the entry that the store holds, nil if it holds none. After any other
	// error the write may have been done, or may be done later while its condition holds.
	Write(ctx context.Context, e *Entry) (*Entry, error)
	// Remove removes an entry if the store holds it at e.Revision.
	Remove(ctx context.Context, e *Entry) error
	// Entries lists the entries of all VMs; the list may lag by seconds.
	Entries(ctx context.Context) (*Listing, error)
}
