// Package zlunit defines the named types of ids and units that all packages
// share. It contains no logic.
package zlunit

import (
	"fmt"
	"strconv"
)

// VM names an entry VM, and also the daemon on it, since each VM runs one.
type VM string

// DataCentre names a data centre.
type DataCentre string

// Deployment names the root of the settings tree.
type Deployment string

// Service names a set of upstreams that serve the same index.
type Service string

// Organisation names a customer of a deployment, whose callers share its limits.
type Organisation string

// Build names the version of the software that a replica runs.
type Build string

// QueryKind names a class of queries that are handled by the same policy.
type QueryKind string

// Upstream names an upstream: one replica of a service.
type Upstream string

// Process is the identity that an upstream chooses anew at each start.
type Process string

// Shard numbers one shard of an index version, from 0.
type Shard uint32

// IndexVersion numbers the index snapshots of a service; a larger one is
// newer.
type IndexVersion uint64

// RequestID is the id that the caller gave a request.
type RequestID string

// Fingerprint is a hash of a caller's request without what differs between its attempts.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParseFingerprint parses what String returns.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		return 0, fmt.Errorf("fingerprint: found %q, allowed are 16 hexadecimal digits", s)
	}
	return Fingerprint(n), nil
}

// QueryID identifies one execution of a query inside the query tier. It is
// never reused.
type QueryID string

// SubRequestID numbers a sub-request within its query. It is never reused within that
// query.
type SubRequestID uint32

// Incarnation distinguishes the successive processes under one VM name.
type Incarnation uint64

// ObjectVersion is the version that the platform assigns to an object; it only
// grows.
type ObjectVersion uint64

// Serial counts the accepted changes of a record and is stored in the record
// itself. Unlike ObjectVersion, it keeps growing when the platform is restored
// from an older state.
type Serial uint64

// Coverage is a share of an index, from 0 to 1.
type Coverage float64

// Slots is how many requests an upstream runs at once.
type Slots int

// Connections is a number of transport connections.
type Connections int
