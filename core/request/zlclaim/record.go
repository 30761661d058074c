package zlclaim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// millis is a time in milliseconds since the Unix epoch, the resolution of the
// time in ids.
type millis int64

func millisOf(t time.Time) millis {
	return millis(t.UnixMilli())
}

// hasTime reports whether the id behind k contains its own time, so that a late
// repetition can be told from a new request. Other ids are kept for at least
// Window after their claim.
func hasTime(k key) bool {
	return k.Version() == timedVersion
}

const (
	// timedVersion is the version of UUIDs that contain a time.
	timedVersion = 7
	// hashedVersion is the version of UUIDs with application-defined content.
	hashedVersion = 8
)

// keyOf returns the key of an id: the id itself if it is a version 7 UUID in
// canonical form, otherwise a version 8 UUID with a hash of the id.
func keyOf(id zlunit.RequestID) key {
	u, err := uuid.Parse(string(id))
	if err == nil && u.Version() == timedVersion && u.String() == string(id) {
		return u
	}
	sum := sha256.Sum256([]byte(id))
	copy(u[:], sum[:])
	u[6] = u[6]&0x0f | hashedVersion<<4
	u[8] = u[8]&0x3f | 0x80
	return u
}

// retentionTime returns the time from which the retention of a key counts that
// is claimed at now.
func retentionTime(k key, now time.Time) millis {
	if hasTime(k) {
		return uuidTime(k)
	}
	return millisOf(now)
}

// uuidTime returns the time in the leading 48 bits of a version 7 UUID.
func uuidTime(u uuid.UUID) millis {
	var n millis
	for _, b := range u[:6] {
		n = n<<8 | millis(b)
	}
	return n
}

// NewID returns a new request id, a version 7 UUID that contains the time t.
func NewID(t time.Time) zlunit.RequestID {
	u := uuid.New()
	n := uint64(t.UnixMilli())
	for i := 5; i >= 0; i-- {
		u[i] = byte(n)
		n >>= 8
	}
	u[6] = u[6]&0x0f | 0x70
	return zlunit.RequestID(u.String())
}

// key is the form in which the log stores a request id.
type key = uuid.UUID

// record is one record of the log. A later record of the same key replaces it.
type record struct {
	key key
	// at is the time from which the retention of the record counts.
	at     millis
	nonce  Nonce
	holder zlunit.VM
	state  State
}

// recordList is a list of records in the order of the log. In JSON it is one
// string with a line for each record: id, nonce, state, time and holder,
// separated by spaces.
type recordList []record

const (
	// recordFields is the number of fields of a line.
	recordFields = 5
	// recordBytes is the approximate length of a line in bytes.
	recordBytes = 58
)

// MarshalJSON implements json.Marshaler.
func (l recordList) MarshalJSON() ([]byte, error) {
	text := make([]byte, 0, recordBytes*len(l))
	for _, r := range l {
		text = base64.RawURLEncoding.AppendEncode(text, r.key[:])
		text = append(text, ' ')
		text = strconv.AppendUint(text, uint64(r.nonce), 36)
		text = append(text, ' ')
		text = strconv.AppendInt(text, int64(r.state), 10)
		text = append(text, ' ')
		text = r.appendTime(text)
		text = append(text, ' ')
		text = append(text, strings.ReplaceAll(string(r.holder), "\n", " ")...)
		text = append(text, '\n')
	}
	return json.Marshal(string(text))
}

// noTime replaces the time of a record whose id contains it.
const noTime = "-"

// appendTime appends the time of the record to text.
func (r *record) appendTime(text []byte) []byte {
	if hasTime(r.key) {
		return append(text, noTime...)
	}
	return strconv.AppendInt(text, int64(r.at), 36)
}

// parseTime sets the time of the record from a field that appendTime wrote.
func (r *record) parseTime(text string) error {
	if hasTime(r.key) && text == noTime {
		r.at = uuidTime(r.key)
		return nil
	}
	at, err := strconv.ParseInt(text, 36, 64)
	if err != nil || hasTime(r.key) {
		return eris.Errorf("record: time %q does not fit the id or is not a number in base 36", text)
	}
	r.at = millis(at)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *recordList) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*l = make(recordList, 0, len(text)/recordBytes+1)
	for line := range strings.Lines(text) {
		r, err := parseRecord(strings.TrimSuffix(line, "\n"))
		if err != nil {
			return err
		}
		*l = append(*l, r)
	}
	return nil
}

// parseRecord parses one line of the log.
func parseRecord(line string) (record, error) {
	fields := strings.SplitN(line, " ", recordFields)
	if len(fields) < recordFields {
		return record{}, eris.Errorf("record: line %q has too few fields", line)
	}
	raw, err := base64.RawURLEncoding.DecodeString(fields[0])
	if err != nil || len(raw) != len(key{}) {
		return record{}, eris.Errorf("record: id %q is not a UUID in base64url", fields[0])
	}
	nonce, err := strconv.ParseUint(fields[1], 36, 64)
	if err != nil {
		return record{}, eris.Errorf("record: nonce %q is not a number in base 36", fields[1])
	}
	state, err := strconv.Atoi(fields[2])
	if err != nil || State(state) < StateClaimed || State(state) > StateNotRun {
		return record{}, eris.Errorf("record: state %q is unknown", fields[2])
	}
	r := record{
		key:    key(raw),
		nonce:  Nonce(nonce),
		holder: zlunit.VM(fields[4]),
		state:  State(state),
	}
	return r, r.parseTime(fields[3])
}

// headName is the name of a segment's head object, which is never deleted.
const headName = "head"

// archiveRef is the name of an archive and the largest time among its ids.
type archiveRef struct {
	Name   string `json:"name"`
	Newest millis `json:"newest"`
}

// head is the value of a segment's head object.
type head struct {
	// Floor is the time up to which ids are refused, since their claims may no
	// longer be kept.
	Floor millis `json:"floor"`
	// Archives names the archives of older records, oldest first.
	Archives []archiveRef `json:"archives,omitempty"`
	// Records holds the records since the newest archive.
	Records recordList `json:"ops,omitempty"`
}

// archive is the value of an archive object.
type archive struct {
	Records recordList `json:"ops"`
}

// archiveName returns a new name that contains the largest time of the
// archive's ids.
func archiveName(newest millis) string {
	return strconv.FormatInt(int64(newest), 10) + "-" + uuid.NewString()[:8]
}

// newestOf returns the time in an archive's name, or false if the name has
// none.
func newestOf(name string) (millis, bool) {
	text, _, ok := strings.Cut(name, "-")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return millis(n), err == nil
}

// decodeObject decodes the value of o.
func decodeObject(o Object, into any) error {
	if err := json.Unmarshal(o.Value, into); err != nil {
		return &Error{
			Op:   "decode",
			Kind: KindDecode,
			Err:  eris.Wrapf(err, "object %q", o.Name),
		}
	}
	return nil
}
