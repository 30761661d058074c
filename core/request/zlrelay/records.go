package zlrelay

import (
	"bytes"
	"slices"
)

// recordSize is the length of one record in bytes.
const recordSize = 16

// topRecords returns the k greatest records of the parts in descending order. An
// incomplete record at the end of a part is ignored.
func topRecords(parts [][]byte, k int) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / recordSize
	}
	all := make([][]byte, 0, n)
	for _, p := range parts {
		for len(p) >= recordSize {
			all = append(all, p[:recordSize])
			p = p[recordSize:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int {
		return bytes.Compare(b, a)
	})
	all = all[:min(max(k, 0), len(all))]
	out := make([]byte, 0, len(all)*recordSize)
	for _, record := range all {
		out = append(out, record...)
	}
	return out
}
