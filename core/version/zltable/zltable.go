// Package zltable holds one version of the routing table that operators accepted: which
// services serve the requests below a prefix, with which timeout, attempts and limits.
// It finds the route of a request; it neither reads tables (see zlwatcher) nor chooses
// replicas.
package zltable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// Version is the number of an accepted table; larger is newer.
type Version uint64

// RouteName is the name of a route within a table.
type RouteName string

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service zlunit.Service
	// Weight is the share relative to the sum of the weights of the route's targets.
	Weight float64
}

// Route defines how the requests below one path prefix of one host are served.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// Objective is the latency objective: an answer after it counts as late.
	Objective time.Duration
	// Attempts is the greatest number of replicas on which one request may run, per
	// shard.
	Attempts int
	// Priority orders the routes of one service; 0 is the most urgent.
	Priority int
	// Targets are the services that share the requests: each request goes to one of
	// them. Empty if Shards is set.
	Targets []Target
	// Shards are the services of which each serves one part of every answer.
	Shards []zlunit.Service
	// MaxRecords is the greatest number of records in an answer merged from all shards.
	// Its name in messages between VMs is Top.
	MaxRecords int `cbor:"Top"`
	// MinCoverage is the least share of the shards that must answer for a success, from
	// 0 to 1.
	// Its name in messages between VMs is LeastShare.
	MinCoverage float64 `cbor:"LeastShare"`
	// AllowAnonymous is true if callers need no key although the table has organisations.
	AllowAnonymous bool `cbor:",omitempty"`
}

// IsSharded reports whether the route's answers are merged from all shards.
func (r *Route) IsSharded() bool {
	return len(r.Shards) > 0
}

// MinParts returns the least number of shards that must answer for a success; 0 if the
// route has no shards.
func (r *Route) MinParts() int {
	n := len(r.Shards)
	for k := 1; k <= n; k++ {
		if float64(k)/float64(n) >= r.MinCoverage {
			return k
		}
	}
	return n
}

// Service holds the operators' settings of a service.
type Service struct {
	Name zlunit.Service
	// Connections is the greatest number of connections that one replica accepts in
	// total.
	Connections int
	// ColdFor is how long a replica stays cold after a start.
	ColdFor time.Duration
	// ColdRate is how many requests per second a cold replica can take.
	ColdRate float64
}

// Limits bounds the requests of callers. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the longest time to receive a request's header.
	HeaderTime time.Duration
	// IdleTime is the longest time that a connection may stay without a request.
	IdleTime time.Duration
}

// Table is one immutable version of the routes. It must be made by New.
type Table struct {
	Version  Version
	Limits   Limits
	Services map[zlunit.Service]Service
	// Organisations are the organisations whose keys callers must send; empty if callers
	// need none. They are set by WithOrganisations.
	Organisations []Organisation
	// Routes are all routes, in the operators' order.
	Routes []Route

	// hosts holds the routes by lower-case host, the longest prefix first.
	hosts map[string][]*Route
	index keyIndex
}

// New returns a table of the given routes and services. It keeps routes, which must not
// change any more.
func New(version Version, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		Services: make(map[zlunit.Service]Service, len(services)),
		Routes:   routes,
		hosts:    map[string][]*Route{},
	}
	for i := range services {
		t.Services[services[i].Name] = services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// Match returns the route of host whose prefix is the longest that path begins with, or
// false if there is none. The case of host is ignored, and its port unless a route names
// it.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			list = t.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
