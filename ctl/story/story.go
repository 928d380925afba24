// Package story reads the logs of relaying nodes and tells what happened to one
// call, on every node in order, with what each node believed at that time.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Node is the node that wrote the line.
func (l Line) Node() string { return l.text("node") }

// Request is the call that the line is about; "" is none.
func (l Line) Request() string { return l.text("request") }

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Read reads lines; what stands before a line's brace, and lines that are no
// JSON, are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		if json.Unmarshal(scanner.Bytes()[start:], &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// Tell picks the lines about a call, and before them the last word of each kind
// that the nodes concerned wrote about what they believed.
func Tell(lines []Line, request string) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var told []Line
	tried := endpointsOf(sorted, request)
	beliefs := map[string]map[string]Line{} // by node and what it is about
	for _, l := range sorted {
		if l.Request() == request {
			told = append(told, takeBeliefs(beliefs, l)...)
			told = append(told, l)
			continue
		}
		if l.Request() == "" && (l.text("endpoint") == "" || tried[l.text("endpoint")]) {
			believe(beliefs, l)
		}
	}
	return told
}

// endpointsOf is which endpoints the lines of a call name: what is known of others says
// nothing of it.
func endpointsOf(lines []Line, request string) map[string]bool {
	named := map[string]bool{}
	for _, l := range lines {
		if l.Request() == request {
			named[l.text("endpoint")] = true
		}
	}
	return named
}

func believe(beliefs map[string]map[string]Line, l Line) {
	if beliefs[l.Node()] == nil {
		beliefs[l.Node()] = map[string]Line{}
	}
	beliefs[l.Node()][l.Message+l.text("of")+l.text("service")+l.text("endpoint")] = l
}

// takeBeliefs lists what a node believed, in order, and forgets it, so that it
// is told once.
func takeBeliefs(beliefs map[string]map[string]Line, l Line) []Line {
	all := slices.Collect(maps.Values(beliefs[l.Node()]))
	delete(beliefs, l.Node())
	slices.SortFunc(all, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Message, b.Message)) })
	return all
}
