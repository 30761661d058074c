package zltable

import (
	"testing"

	"zinnialock/core/process/zlunit"
)

// Match must ignore the case and port of the host and the routes of other hosts.
func TestMatchFindsLongestPrefixOfHost(t *testing.T) {
	table := New(3, []Route{
		{
			Name:   "short",
			Host:   "a.example",
			Prefix: "/x/",
		},
		{
			Name:   "long",
			Host:   "a.example",
			Prefix: "/x/y/",
		},
		{
			Name:   "other",
			Host:   "b.example",
			Prefix: "/x/",
		},
	}, nil, Limits{})
	for _, c := range []struct {
		host string
		path string
		want RouteName
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		got := RouteName("")
		if r, ok := table.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%s, %s): got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// MinParts must round up, also where the product of shards and share is inexact.
func TestLeastParts(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{
		{10, 0.89, 9},
		{10, 0.75, 8},
		{36, 0.95, 35},
		{54, 0.85, 46},
		{10, 1, 10},
		{10, 0, 1},
	} {
		r := Route{
			Shards:      make([]zlunit.Service, c.shards),
			MinCoverage: c.share,
		}
		if got := r.MinParts(); got != c.want {
			t.Errorf("%d shards, least share %v: got %d parts, want %d", c.shards, c.share, got, c.want)
		}
	}
}
