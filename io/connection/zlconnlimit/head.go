package zlconnlimit

import (
	"bytes"

	"zinnialock/core/connection/zlreadbudget"
)

const (
	// bytesPerLine and factorPerByte estimate what a head takes in net/http and in the
	// copy of its handler: a map entry with a name and a list for each line (measured:
	// 219 to 234 bytes with a copy), and the text twice.
	bytesPerLine  = 256
	factorPerByte = 2
	// pipelinedFactor is what net/http and a copy keep for each byte of a head in the
	// shortest lines (measured: 39).
	pipelinedFactor = 40
)

// headScanner finds the end of a request head. The zero value is at the start of one.
type headScanner struct {
	size  zlreadbudget.Bytes
	lines int
	// empty counts the empty lines before the head.
	empty int
	// length is that of the current line, and onlyCR is true if it consists of a CR.
	length int
	onlyCR bool
}

// scan takes the next bytes. It returns the number of those up to the end of the head,
// and whether that is among them.
func (s *headScanner) scan(data []byte) (n int, whole bool) {
	for n < len(data) {
		rest := data[n:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			s.add(rest)
			n = len(data)
			break
		}
		s.add(rest[:i])
		n += i + 1
		isEmpty := s.length == 0 || s.onlyCR
		s.length = 0
		s.onlyCR = false
		switch {
		case !isEmpty:
			s.lines++
		case s.lines == 0:
			s.empty++
		default:
			s.size += zlreadbudget.Bytes(n)
			return n, true
		}
	}
	s.size += zlreadbudget.Bytes(n)
	return n, false
}

// add takes a part of a line.
func (s *headScanner) add(part []byte) {
	if len(part) == 0 {
		return
	}
	s.onlyCR = s.length == 0 && len(part) == 1 && part[0] == '\r'
	s.length += len(part)
}

// cost estimates the memory of the request's head while it is served. The lines of a head
// that was passed on as it came aren't known.
func (s *headScanner) cost() zlreadbudget.Bytes {
	if s.lines == 0 {
		return pipelinedFactor * s.size
	}
	return factorPerByte*s.size + bytesPerLine*zlreadbudget.Bytes(s.lines)
}
