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

// millis is a time in milliseconds since the Unix epoch, as ids carry it.
type millis int64

func millisOf(t time.Time) millis {
	return millis(t.UnixMilli())
}

// timed reports whether the id behind k carries its own time, so that a late
// repetition cannot pass for a new request. Other ids are remembered from the
// time of their claim on, for Window at least.
func timed(k key) bool {
	return k.Version() == timedVersion
}

const (
	// timedVersion is the version of UUIDs that carry their time.
	timedVersion = 7
	// hashedVersion is the version of UUIDs that hold what their maker likes.
	hashedVersion = 8
)

// keyOf returns the key of an id: a version 7 UUID itself, or else a hash.
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

// timeOf returns the time that decides how long a key claimed at now is
// remembered.
func timeOf(k key, now time.Time) millis {
	if timed(k) {
		return timeIn(k)
	}
	return millisOf(now)
}

// timeIn reads the leading 48 bits.
func timeIn(u uuid.UUID) millis {
	var n millis
	for _, b := range u[:6] {
		n = n<<8 | millis(b)
	}
	return n
}

// NewID returns a request id that carries the time t.
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

// key is a request id as the log keeps it.
type key = uuid.UUID

// op is one record of the log; a later one of the same key takes its place.
type op struct {
	key key
	// at decides how long the record is kept.
	at     millis
	nonce  Nonce
	holder zlunit.VM
	state  State
}

// opList is records in the order of the log. In JSON it is one string with a
// line for each record: id, nonce, state and holder, with a space between.
type opList []op

const (
	// opFields is how many fields a record's line has.
	opFields = 5
	// opSize is about the length of a line, in bytes.
	opSize = 58
)

// MarshalJSON implements json.Marshaler.
func (l opList) MarshalJSON() ([]byte, error) {
	text := make([]byte, 0, opSize*len(l))
	for _, o := range l {
		text = base64.RawURLEncoding.AppendEncode(text, o.key[:])
		text = append(text, ' ')
		text = strconv.AppendUint(text, uint64(o.nonce), 36)
		text = append(text, ' ')
		text = strconv.AppendInt(text, int64(o.state), 10)
		text = append(text, ' ')
		text = o.appendTime(text)
		text = append(text, ' ')
		text = append(text, strings.ReplaceAll(string(o.holder), "\n", " ")...)
		text = append(text, '\n')
	}
	return json.Marshal(string(text))
}

// noTime stands where the id tells the time.
const noTime = "-"

func (o *op) appendTime(text []byte) []byte {
	if timed(o.key) {
		return append(text, noTime...)
	}
	return strconv.AppendInt(text, int64(o.at), 36)
}

// readTime sets the time from text as appendTime made it.
func (o *op) readTime(text string) error {
	if timed(o.key) && text == noTime {
		o.at = timeIn(o.key)
		return nil
	}
	at, err := strconv.ParseInt(text, 36, 64)
	if err != nil || timed(o.key) {
		return eris.Errorf("record: bad time %q", text)
	}
	o.at = millis(at)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *opList) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*l = make(opList, 0, len(text)/opSize+1)
	for line := range strings.Lines(text) {
		o, err := parseOp(strings.TrimSuffix(line, "\n"))
		if err != nil {
			return err
		}
		*l = append(*l, o)
	}
	return nil
}

func parseOp(line string) (op, error) {
	fields := strings.SplitN(line, " ", opFields)
	if len(fields) < opFields {
		return op{}, eris.Errorf("record: bad line %q", line)
	}
	raw, err := base64.RawURLEncoding.DecodeString(fields[0])
	if err != nil || len(raw) != len(key{}) {
		return op{}, eris.Errorf("record: bad id %q", fields[0])
	}
	nonce, err := strconv.ParseUint(fields[1], 36, 64)
	if err != nil {
		return op{}, eris.Errorf("record: bad nonce %q", fields[1])
	}
	state, err := strconv.Atoi(fields[2])
	if err != nil || State(state) < StateClaimed || State(state) > StateNotRun {
		return op{}, eris.Errorf("record: bad state %q", fields[2])
	}
	o := op{
		key:    key(raw),
		nonce:  Nonce(nonce),
		holder: zlunit.VM(fields[4]),
		state:  State(state),
	}
	return o, o.readTime(fields[3])
}

// headName is the name of a segment's head object; it is never deleted.
const headName = "head"

// archiveRef names an archive and the largest time among its ids.
type archiveRef struct {
	Name   string `json:"name"`
	Newest millis `json:"newest"`
}

// head is the value of a segment's head object.
type head struct {
	// Floor is the time up to which ids are refused, since they may have been
	// forgotten.
	Floor    millis       `json:"floor"`
	Archives []archiveRef `json:"archives,omitempty"`
	Ops      opList       `json:"ops,omitempty"`
}

// archive is the value of an archive object.
type archive struct {
	Ops opList `json:"ops"`
}

// archiveName makes a name that carries the largest time of the archive's ids.
func archiveName(newest millis) string {
	return strconv.FormatInt(int64(newest), 10) + "-" + uuid.NewString()[:8]
}

// newestOf reads the time out of an archive's name.
func newestOf(name string) (millis, bool) {
	text, _, ok := strings.Cut(name, "-")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	return millis(n), err == nil
}

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
