// Package logs analyzes the logs of relaying nodes. It reconstructs the course of a call on all nodes,
// with the state known to each node at that time, and summarizes unserved calls, spending, placements
// and rollouts.
package logs

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

// Line is one structured log line.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Node returns the node that wrote the line.
func (l Line) Node() string { return l.text("node") }

// Request returns the id of the call that the line is about, or "" if there is none.
func (l Line) Request() string { return l.text("request") }

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read parses log lines. It ignores any prefix before the first brace of a line, and lines that are not
// JSON.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
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

// CallLines returns the lines about a call in order of time. Before the first line of a node come the
// latest lines of each kind in which that node had logged its state.
func CallLines(lines []Line, request string) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var selected []Line
	attempted := endpointsOf(sorted, request)
	states := map[string]map[string]Line{} // by node, then by message and subject
	for _, l := range sorted {
		if l.Request() == request {
			selected = append(selected, takeStates(states, l)...)
			selected = append(selected, l)
			continue
		}
		if l.Request() == "" && (l.text("endpoint") == "" || attempted[l.text("endpoint")]) {
			recordState(states, l)
		}
	}
	return selected
}

// endpointsOf returns the endpoints named in the lines of a call. The state of other endpoints is
// irrelevant to that call.
func endpointsOf(lines []Line, request string) map[string]bool {
	named := map[string]bool{}
	for _, l := range lines {
		if l.Request() == request {
			named[l.text("endpoint")] = true
		}
	}
	return named
}

func recordState(states map[string]map[string]Line, l Line) {
	if states[l.Node()] == nil {
		states[l.Node()] = map[string]Line{}
	}
	states[l.Node()][l.Message+l.text("of")+l.text("service")+l.text("endpoint")] = l
}

// takeStates removes and returns the state lines of a node in order of time, so that each is listed
// once.
func takeStates(states map[string]map[string]Line, l Line) []Line {
	all := slices.Collect(maps.Values(states[l.Node()]))
	delete(states, l.Node())
	slices.SortFunc(all, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Message, b.Message)) })
	return all
}
