package zltable

import (
	"encoding/binary"
	"math"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of parts into which organisations are divided by name, so that VMs
// exchange the parts that differ only: 40 organisations of 5,000 when one key changes, for
// 1 KB of hashes.
const NumBuckets = 128

// BucketHashes are the hashes of the organisations of a table, by bucket. They are the same on
// all VMs and do not depend on the order of the organisations.
type BucketHashes [NumBuckets]uint64

// BucketHashes returns the hashes of the table's organisations.
func (t *Table) BucketHashes() *BucketHashes {
	var hashes BucketHashes
	var buffer []byte
	for i := range t.Organisations {
		o := &t.Organisations[i]
		buffer = o.appendContent(buffer[:0])
		hashes[bucketOf(o.Name)] += xxhash.Sum64(buffer)
	}
	return &hashes
}

// OrganisationsIn returns the organisations of the buckets that in names.
func (t *Table) OrganisationsIn(in func(bucket int) bool) []Organisation {
	var list []Organisation
	for i := range t.Organisations {
		if in(bucketOf(t.Organisations[i].Name)) {
			list = append(list, t.Organisations[i])
		}
	}
	return list
}

func bucketOf(name zlunit.Organisation) int {
	return int(xxhash.Sum64String(string(name)) % NumBuckets)
}

// appendContent appends all fields in a form that differs for different organisations.
func (o *Organisation) appendContent(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(o.Name)))
	b = append(b, o.Name...)
	b = binary.AppendVarint(b, int64(o.Priority))
	flag := byte(0)
	if o.HasPriority {
		flag = 1
	}
	b = append(b, flag)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(o.Rate))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(o.Burst))
	for i := range o.Keys {
		b = append(b, o.Keys[i][:]...)
	}
	return b
}
