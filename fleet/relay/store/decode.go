package store

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Bounds of the entries of other writers.
const (
	// MaxDepth is the maximum nesting of an entry: a tenth of what encoding/json decodes, so that
	// an entry that one node can decode can be passed on to others within an answer.
	MaxDepth  = 1000
	maxReason = 300 // bytes of the reason why an entry can't be decoded
)

// Unmarshal decodes the data of an entry. Unlike that of encoding/json, its error never repeats a
// value of any length.
func Unmarshal(data []byte, to any) error {
	if TooDeep(data) {
		return errors.Newf("it is nested more than %d deep", MaxDepth)
	}
	return Short(json.Unmarshal(data, to))
}

// Short returns the error itself if its text is short, and otherwise one with the beginning of the text.
func Short(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxReason {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxReason], "") + "...")
}

// TooDeep reports whether a text is nested more than MaxDepth deep.
func TooDeep(data []byte) bool {
	if len(data) <= 2*MaxDepth {
		return false // the common case: too few bytes
	}
	depth, inString := 0, false
	for at := 0; at < len(data); at++ {
		switch c := data[at]; {
		case inString && c == '\\':
			at++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{', c == '[':
			if depth++; depth > MaxDepth {
				return true
			}
		case c == '}', c == ']':
			depth--
		}
	}
	return false
}
