package table

import (
	"net/url"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Kind is the kind of thing that a row describes.
type Kind string

// The kinds of rows.
const (
	Customer Kind = "customer"
	Budget   Kind = "budget"
	Service  Kind = "service"
	Model    Kind = "model"
	Endpoint Kind = "endpoint"
	Weight   Kind = "weight"
	Limit    Kind = "limit"
)

// Column is the name of a cell. It includes the unit where that is not obvious.
type Column string

// The columns that the fleet reads.
const (
	ColWeight            Column = "weight"
	ColKeyHashes         Column = "keyHashes" // SHA-256 of each key in hex
	ColCustomer          Column = "customer"
	ColServices          Column = "services" // names, or * for all
	ColService           Column = "service"
	ColLimitTokens       Column = "limitTokens"
	ColType              Column = "type"       // model or plain
	ColRepeatable        Column = "repeatable" // HTTP methods
	ColPriority          Column = "priority"   // interactive or batch
	ColTimeoutMs         Column = "timeoutMs"
	ColMaxOutputTokens   Column = "maxOutputTokens"
	ColMinBytesPerToken  Column = "minBytesPerToken" // the tokenizer's guaranteed minimum, for the bound of a prompt
	ColZone              Column = "zone"
	ColURL               Column = "url"
	ColMaxInFlight       Column = "maxInFlight"
	ColChecksFence       Column = "checksFence"
	ColState             Column = "state" // live or leaving
	ColEndpoint          Column = "endpoint"
	ColRequestsPerSecond Column = "requestsPerSecond"
	ColTokensPerSecond   Column = "tokensPerSecond"
	ColNote              Column = "note"
)

type cellType int

const (
	textCell cellType = iota
	integerCell
	positiveCell
	boolCell
	listCell
	urlCell
	choiceCell
)

// column is the rule for one cell.
type column struct {
	name       Column
	kind       cellType
	required   bool
	choices    []string
	references Kind // kind of the rows that the cell names
	fixed      bool // can't change once it is set
}

const (
	maxInteger  = int64(1) << 52
	maxCellText = 4096
)

var schema = map[Kind][]column{
	Customer: {
		{name: ColWeight, kind: positiveCell},
		{name: ColKeyHashes, kind: listCell},
		{name: ColNote},
	},
	Budget: {
		{name: ColCustomer, required: true, references: Customer, fixed: true},
		{name: ColServices, kind: listCell, references: Service},
		{name: ColLimitTokens, kind: integerCell, required: true},
		{name: ColNote},
	},
	Service: {
		{name: ColType, kind: choiceCell, required: true, choices: []string{"model", "plain"}},
		{name: ColRepeatable, kind: listCell},
		{name: ColPriority, kind: choiceCell, choices: []string{"interactive", "batch"}},
		{name: ColTimeoutMs, kind: positiveCell},
		{name: ColNote},
	},
	Model: {
		{name: ColService, required: true, references: Service},
		{name: ColMaxOutputTokens, kind: positiveCell},
		{name: ColMinBytesPerToken, kind: positiveCell},
		{name: ColNote},
	},
	Endpoint: {
		{name: ColServices, kind: listCell, required: true, references: Service},
		{name: ColZone, required: true},
		{name: ColURL, kind: urlCell, required: true},
		{name: ColMaxInFlight, kind: positiveCell},
		{name: ColWeight, kind: integerCell},
		{name: ColChecksFence, kind: boolCell},
		{name: ColState, kind: choiceCell, choices: []string{"live", "leaving"}},
		{name: ColNote},
	},
	Weight: {
		{name: ColCustomer, references: Customer},
		{name: ColService, references: Service},
		{name: ColEndpoint, references: Endpoint},
		{name: ColWeight, kind: integerCell, required: true},
		{name: ColNote},
	},
	Limit: {
		{name: ColCustomer, references: Customer},
		{name: ColService, references: Service},
		{name: ColEndpoint, references: Endpoint},
		{name: ColRequestsPerSecond, kind: positiveCell},
		{name: ColTokensPerSecond, kind: positiveCell},
		{name: ColMaxInFlight, kind: positiveCell},
		{name: ColNote},
	},
}

// Kinds lists the kinds of rows in order.
func Kinds() []Kind {
	kinds := lo.Keys(schema)
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

// Columns lists every column of every kind in order.
func Columns() []Column {
	all := lo.Uniq(lo.FlatMap(lo.Values(schema), func(cs []column, _ int) []Column {
		return lo.Map(cs, func(c column, _ int) Column { return c.name })
	}))
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// columnOf returns the rule for a column of a kind of rows.
func columnOf(k Kind, name Column) (column, bool) {
	return lo.Find(schema[k], func(c column) bool { return c.name == name })
}

// check returns the rule that a value breaks, or "".
func (c column) check(value string) string {
	if len(value) > maxCellText {
		return "at most " + strconv.Itoa(maxCellText) + " bytes"
	}
	switch c.kind {
	case integerCell:
		return checkInteger(value, 0)
	case positiveCell:
		return checkInteger(value, 1)
	case boolCell:
		if value != "true" && value != "false" {
			return "true or false"
		}
	case urlCell:
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return "an http or https URL"
		}
	case choiceCell:
		if !lo.Contains(c.choices, value) {
			return "one of " + strings.Join(c.choices, ", ")
		}
	case textCell, listCell:
	}
	return ""
}

func checkInteger(value string, minValue int64) string {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < minValue || n > maxInteger {
		return "a whole number from " + strconv.FormatInt(minValue, 10) + " to " + strconv.FormatInt(maxInteger, 10)
	}
	return ""
}

// names returns the row names in a cell, without *.
func (c column) names(value string) []string {
	if c.kind != listCell {
		return []string{value}
	}
	return lo.Filter(SplitList(value), func(s string, _ int) bool { return s != "*" })
}

// SplitList splits a cell that holds a list separated by commas, semicolons or spaces.
func SplitList(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' || r == ';' })
}

// ParseKind parses a kind.
func ParseKind(s string) (Kind, error) {
	if _, ok := schema[Kind(s)]; !ok {
		return "", errors.Newf("kind %q: want one of %v", s, Kinds())
	}
	return Kind(s), nil
}
