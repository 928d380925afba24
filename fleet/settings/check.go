package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Field    string `json:"field"`
	Expected string `json:"expected"`
}

// Error is the fault on one line.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d, column %d: expected %s", f.Line, f.Column, f.Expected)
	}
	return fmt.Sprintf("line %d, column %d, field %s: expected %s", f.Line, f.Column, f.Field, f.Expected)
}

// Faults are all that is wrong.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	return strings.Join(lo.Map(fs, func(f Fault, _ int) string { return f.Error() }), "\n")
}

// field is the rule for one value of the settings.
type field struct {
	name     string
	required bool
	text     func(string) string
	list     func(string) string
	whole    *wholeRange
	fields   []field
}

type wholeRange struct{ least, most int64 }

func whole(least, most int64) *wholeRange { return &wholeRange{least: least, most: most} }

const maxMs = 3_600_000

var schema = []field{
	{name: "node", required: true, text: ruleName},
	{name: "zone", required: true, text: ruleName},
	{name: "listen", required: true, text: ruleAddress},
	{name: "advertise", required: true, text: ruleURL},
	{name: "platform", required: true, text: ruleURL},
	{name: "peers", list: ruleURL},
	{name: "fleetKeyFile", required: true, text: ruleSome},
	{name: "operatorHashesFile", required: true, text: ruleSome},
	{name: "slots", whole: whole(1, 4096)},
	{name: "timing", fields: []field{
		{name: "beatMs", whole: whole(10, maxMs)},
		{name: "suspectMs", whole: whole(50, maxMs)},
		{name: "flushMs", whole: whole(10, maxMs)},
		{name: "ledgerMs", whole: whole(0, maxMs)},
		{name: "pollMs", whole: whole(10, maxMs)},
		{name: "listMs", whole: whole(10, maxMs)},
		{name: "drainMs", whole: whole(0, maxMs)},
	}},
	{name: "limits", fields: []field{
		{name: "bodyBytes", whole: whole(1024, 64<<20)},
		{name: "headerBytes", whole: whole(1024, 1<<20)},
	}},
	{name: "log", fields: []field{
		{name: "format", text: ruleOneOf("json", "text")},
		{name: "level", text: ruleOneOf("debug", "info", "warn", "error")},
	}},
	{name: "trace", fields: []field{
		{name: "otlpEndpoint", text: orEmpty(ruleURL)},
		{name: "file", text: func(string) string { return "" }},
	}},
}

func orEmpty(rule func(string) string) func(string) string {
	return func(s string) string {
		if s == "" {
			return ""
		}
		return rule(s)
	}
}

type document struct {
	standard []byte // the text as standard JSON
}

type checker struct {
	text   []byte
	faults Faults
}

func parse(data []byte) (document, Faults) {
	value, err := hujson.Parse(data)
	if err != nil {
		return document{}, Faults{syntaxFault(data, err)}
	}
	c := &checker{text: data}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.add(value.StartOffset, "", "an object in braces")
		return document{}, c.faults
	}
	c.object("", object, value.StartOffset, schema)
	if len(c.faults) > 0 {
		return document{}, c.faults
	}
	value.Standardize()
	return document{standard: value.Pack()}, nil
}

// syntaxFault places an error of the parser, which names line and column in its text.
func syntaxFault(data []byte, err error) Fault {
	f := Fault{Line: 1, Column: 1, Expected: "JSON with comments: " + errors.UnwrapAll(err).Error()}
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &f.Line, &f.Column)
	}
	return f
}

func (c *checker) add(offset int, name, expected string) {
	before := c.text[:min(offset, len(c.text))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := offset - bytes.LastIndexByte(before, '\n')
	c.faults = append(c.faults, Fault{Line: line, Column: column, Field: name, Expected: expected})
}

func (c *checker) object(prefix string, o *hujson.Object, offset int, fields []field) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		c.member(prefix, m, fields, seen)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			c.add(offset, prefix+f.name, "the field to be there")
		}
	}
}

func (c *checker) member(prefix string, m hujson.ObjectMember, fields []field, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	f, ok := lo.Find(fields, func(f field) bool { return f.name == name })
	if !ok {
		names := lo.Map(fields, func(f field, _ int) string { return f.name })
		c.add(m.Name.StartOffset, prefix+name, "one of the fields "+strings.Join(names, ", "))
		return
	}
	if seen[name] {
		c.add(m.Name.StartOffset, prefix+name, "the field only once")
	}
	seen[name] = true
	c.value(prefix+name, m.Value, f)
}

func (c *checker) value(name string, v hujson.Value, f field) {
	switch {
	case f.fields != nil:
		if o, ok := v.Value.(*hujson.Object); ok {
			c.object(name+".", o, v.StartOffset, f.fields)
			return
		}
		c.add(v.StartOffset, name, "an object in braces")
	case f.whole != nil:
		c.whole(name, v, *f.whole)
	case f.list != nil:
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			c.add(v.StartOffset, name, "a list in brackets")
			return
		}
		for i, e := range a.Elements {
			c.text1(fmt.Sprintf("%s[%d]", name, i), e, f.list)
		}
	default:
		c.text1(name, v, f.text)
	}
}

func (c *checker) whole(name string, v hujson.Value, r wholeRange) {
	expected := fmt.Sprintf("a whole number from %d to %d", r.least, r.most)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		c.add(v.StartOffset, name, expected)
		return
	}
	n := literal.Float()
	if n != math.Trunc(n) || n < float64(r.least) || n > float64(r.most) {
		c.add(v.StartOffset, name, expected)
	}
}

func (c *checker) text1(name string, v hujson.Value, rule func(string) string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		c.add(v.StartOffset, name, "text in quotes")
		return
	}
	var text string
	if err := json.Unmarshal(literal, &text); err != nil {
		c.add(v.StartOffset, name, "text in quotes")
		return
	}
	if expected := rule(text); expected != "" {
		c.add(v.StartOffset, name, expected)
	}
}
