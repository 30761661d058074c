package zlrelay

import (
	"zinnialock/core/process/zlunit"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the fingerprint of the request. The same message of another
// organisation is another request, so that what one organisation sends does not block
// another's.
func (r *Request) Fingerprint() zlunit.Fingerprint {
	f := r.Message.Fingerprint()
	if r.Organisation == "" {
		return f
	}
	return zlunit.Fingerprint(xxhash.Sum64String(f.String() + string(r.Organisation)))
}

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
