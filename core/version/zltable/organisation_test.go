package zltable

import (
	"fmt"
	"runtime"
	"testing"

	"zinnialock/core/process/zlunit"
)

// largeTable returns a table of the largest size to design for: 5,000 organisations with two
// keys each.
func largeTable(version Version) *Table {
	list := make([]Organisation, 5000)
	for i := range list {
		list[i] = Organisation{
			Name: zlunit.Organisation(fmt.Sprintf("organisation-%05d", i)),
			Keys: []KeyDigest{
				DigestKey(fmt.Sprintf("first-%d", i)),
				DigestKey(fmt.Sprintf("second-%d", i)),
			},
			Rate:  float64(i%40) + 0.5,
			Burst: 10,
		}
	}
	return New(version, nil, nil, Limits{}).WithOrganisations(list)
}

// BenchmarkLookup reports the memory of the largest table and the time of one lookup.
func BenchmarkLookup(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := largeTable(1)
	runtime.GC()
	runtime.ReadMemStats(&after)
	d := DigestKey("second-4321")
	for b.Loop() {
		if o := t.Lookup(&d); o == nil || o.Name != "organisation-04321" {
			b.Fatal("got another organisation")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "tableBytes")
	runtime.KeepAlive(t)
}

// BenchmarkIndex reports the time to build the index of the largest table.
func BenchmarkIndex(b *testing.B) {
	t := largeTable(1)
	for b.Loop() {
		t.WithOrganisations(t.Organisations)
	}
}
