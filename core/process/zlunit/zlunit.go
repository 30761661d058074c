// Package zlunit holds the named types for ids and units that every other
// package shares.
package zlunit

// VM names an entry VM and, since each runs one daemon, the daemon on it.
type VM string

// DataCentre names a data centre.
type DataCentre string

// Deployment names the root of the settings tree.
type Deployment string

// Service names a set of upstreams that serve one index.
type Service string

// QueryKind names a class of queries that share one policy.
type QueryKind string

// Upstream names one replica of a service.
type Upstream string

// Process is the identity an upstream draws anew at every start.
type Process string

// Shard numbers one shard of an index version, from 0.
type Shard uint32

// IndexVersion numbers an index snapshot of a service; larger is newer.
type IndexVersion uint64

// RequestID is the caller's own id of a request.
type RequestID string

// QueryID identifies one run of a query inside the tier; it is never reused.
type QueryID string

// SubID numbers a sub-request within its query; it is never reused there.
type SubID uint32

// Incarnation tells two processes under one VM name apart.
type Incarnation uint64

// ObjectVersion is the version the platform gives an object; it only grows.
type ObjectVersion uint64

// Serial counts the accepted changes of a record, in the record itself; unlike
// ObjectVersion it outlives a platform that was restored from an older state.
type Serial uint64

// Coverage is a share of an index, from 0 to 1.
type Coverage float64

// Slots counts requests that an upstream runs at once.
type Slots int

// Connections counts transport connections.
type Connections int
