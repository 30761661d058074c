// Package zlcorpus defines the synthetic index that simulated upstreams serve. Its
// rows are computed from the query, so that load generators and tests can check an
// answer without a copy of the data. It is not an index for real data: it stores and
// searches nothing.
package zlcorpus

import (
	"fmt"

	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// RowsPerShard is the number of rows that a shard returns for a query text.
const RowsPerShard = 2

// Rows returns the rows of a shard of a service for a query text at an index
// version. Equal arguments give equal rows.
func Rows(service zlunit.Service, version zlunit.IndexVersion, shard zlunit.Shard, text string) []string {
	out := make([]string, RowsPerShard)
	for i := range out {
		sum := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d|%s|%d", service, version, shard, text, i))
		out[i] = fmt.Sprintf("%s/v%d/s%d/%016x", service, version, shard, sum)
	}
	return out
}
