// Package zltable holds one version of the routes that operators accepted: who
// may be asked for what, how often and for how long.
package zltable

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// Version numbers an accepted table; larger is newer.
type Version uint64

// RouteName names a route within a table.
type RouteName string

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service zlunit.Service
	// Weight is relative to the sum over the route's targets.
	Weight float64
}

// Route tells how the requests below one prefix of one host are served.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Attempts is the most replicas on which one request may run, for each
	// shard.
	Attempts int
	// Priority ranks routes of one service; 0 is the most urgent.
	Priority int
	// Targets are the services that share the requests; one of them serves
	// each. Empty where Shards is set.
	Targets []Target
	// Shards are the services that all serve a part of each answer.
	Shards []zlunit.Service
	// Top is how many records an answer over all shards has at most.
	Top int
	// LeastShare is the share of the shards that a success needs.
	LeastShare float64
}

// Scattered reports whether the route's answers are merged from all shards.
func (r *Route) Scattered() bool {
	return len(r.Shards) > 0
}

// LeastParts is how many parts a success needs.
func (r *Route) LeastParts() int {
	n := len(r.Shards)
	for k := 1; k <= n; k++ {
		if float64(k)/float64(n) >= r.LeastShare {
			return k
		}
	}
	return n
}

// Service is what operators say of a service.
type Service struct {
	Name zlunit.Service
	// Connections is the most that one replica takes from all callers.
	Connections int
	// ColdFor is how long a replica stays cold after a start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold replica bears.
	ColdRate float64
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one immutable version. Make it with New.
type Table struct {
	Version  Version
	Limits   Limits
	Services map[zlunit.Service]Service
	// Routes are all routes, in the operators' order.
	Routes []Route

	hosts map[string][]*Route
}

// New returns a table of the given routes, in which the longest prefix goes
// first.
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

// Match returns the route with the longest prefix of path among those of host.
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
