// Package zlcorpus defines the made-up index that the upstream stand-ins serve,
// so that whoever checks an answer can compute what it must hold.
package zlcorpus

import (
	"fmt"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// RowsPerShard is how many rows a shard returns for a text.
const RowsPerShard = 2

// Rows returns what a shard of a service holds for text at a version.
func Rows(service zlunit.Service, version zlunit.IndexVersion, shard zlunit.Shard, text string) []string {
	out := make([]string, RowsPerShard)
	for i := range out {
		sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%s|%d", service, version, shard, text, i))
		out[i] = fmt.Sprintf("%s/v%d/s%d/%016x", service, version, shard, sum)
	}
	return out
}
