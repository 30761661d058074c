// Package zljson decodes the replies of a platform that keeps what others have written. A
// value that the decoder cannot read is left out, so that the objects beside it are not
// lost. It doesn't check what it decodes.
package zljson

import (
	"encoding/json"
	"errors"
)

// maxNesting is the depth, in levels, from which on nested values are left out of a reply
// that cannot be read as it is.
const maxNesting = 100

// Unmarshal is json.Unmarshal, but for values that are no JSON or nested more deeply than
// that allows: such a string is empty, and any other value null.
func Unmarshal(data []byte, out any) error {
	err := json.Unmarshal(data, out)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return json.Unmarshal(withoutUnreadable(data), out)
	}
	return err
}

// withoutUnreadable replaces strings that are no JSON by empty ones, and other values that
// are no JSON or nested too deeply by null.
func withoutUnreadable(data []byte) []byte {
	out := make([]byte, 0, len(data))
	depth := 0
	for i := 0; i < len(data); {
		end := i + 1
		isOpening, isClosing := false, false
		replacement := ""
		switch data[i] {
		case '{', '[':
			isOpening = true
			depth++
		case '}', ']':
			isClosing = true
			depth--
		case '"':
			end = stringEnd(data, i)
			replacement = `""`
		case ',', ':', ' ', '\t', '\r', '\n':
		default:
			end = literalEnd(data, i)
			replacement = "null"
		}
		token := data[i:end]
		i = end
		switch {
		case isOpening && depth == maxNesting:
			out = append(out, "null"...)
		case depth >= maxNesting || isClosing && depth == maxNesting-1:
		case replacement != "" && !json.Valid(token):
			out = append(out, replacement...)
		default:
			out = append(out, token...)
		}
	}
	return out
}

// stringEnd returns the index after the string that begins at from.
func stringEnd(data []byte, from int) int {
	for i := from + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// literalEnd returns the index after the number or word that begins at from.
func literalEnd(data []byte, from int) int {
	for i := from + 1; i < len(data); i++ {
		switch data[i] {
		case '{', '[', '}', ']', '"', ',', ':', ' ', '\t', '\r', '\n':
			return i
		}
	}
	return len(data)
}
