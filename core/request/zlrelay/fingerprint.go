package zlrelay

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the fingerprint of the message. Messages that a replica handles
// alike have the same: headers, such as the id and the deadline, are not part of it.
func (m *Message) Fingerprint() zlunit.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.Method, m.Host, m.Target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(m.Body)
	return zlunit.Fingerprint(d.Sum64())
}
