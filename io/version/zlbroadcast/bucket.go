package zlbroadcast

import (
	"encoding/base64"
	"encoding/binary"

	"zinnialock/core/version/zltable"

	"github.com/rotisserie/eris"
)

// bucketBytes is the size of one hash in a fetch.
const bucketBytes = 8

// errPartialTable means that the organisations of a message cannot be completed by those of
// this VM.
var errPartialTable = eris.New("the organisations of the table are not complete")

// bucketQuery returns the bucket hashes of a table for a fetch, empty for one without
// organisations. The reply then leaves out what this VM has.
func bucketQuery(t *zltable.Table) string {
	if t == nil || !t.NeedsKeys() {
		return ""
	}
	data := make([]byte, 0, zltable.NumBuckets*bucketBytes)
	for _, h := range t.BucketHashes() {
		data = binary.BigEndian.AppendUint64(data, h)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// leaveOut removes the organisations of the buckets that the sender of a fetch has, and notes
// them in Kept. Hashes that cannot be read leave the table whole.
func (i *tableItem) leaveOut(query string) {
	data, err := base64.RawURLEncoding.DecodeString(query)
	if err != nil || len(data) != zltable.NumBuckets*bucketBytes || len(i.Organisations) == 0 {
		return
	}
	t := &zltable.Table{
		Organisations: i.Organisations,
	}
	kept := make([]byte, zltable.NumBuckets/8)
	for b, h := range t.BucketHashes() {
		if binary.BigEndian.Uint64(data[b*bucketBytes:]) == h {
			kept[b/8] |= 1 << (b % 8)
		}
	}
	i.Kept = kept
	i.Organisations = t.OrganisationsIn(func(b int) bool {
		return !i.keeps(b)
	})
}

// without leaves the organisations out of the table that the sender of a fetch has.
func (d *delta) without(buckets string) *delta {
	if d.Table != nil && buckets != "" {
		d.Table.leaveOut(buckets)
	}
	return d
}

func (i *tableItem) keeps(bucket int) bool {
	return i.Kept[bucket/8]&(1<<(bucket%8)) != 0
}

// complete adds the organisations that were left out from the table whose hashes the fetch
// named.
func (i *tableItem) complete(base *zltable.Table) error {
	if len(i.Kept) == 0 {
		return nil
	}
	if base == nil || len(i.Kept) != zltable.NumBuckets/8 {
		return errPartialTable
	}
	i.Organisations = append(base.OrganisationsIn(i.keeps), i.Organisations...)
	i.Kept = nil
	return nil
}
