package table

import (
	"net/url"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Kind is what a row describes.
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

// Column is the name of a cell; a unit that is not plain stands in it.
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
	ColMinBytesPerToken  Column = "minBytesPerToken" // the tokenizer's guaranteed least, for the prompt's bound
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
	wholeCell
	positiveCell
	boolCell
	listCell
	urlCell
	choiceCell
)

// column is the rule for one cell.
type column struct {
	name     Column
	kind     cellType
	required bool
	choices  []string
	refers   Kind // the row that the cell's names must name
	fixed    bool // can't change once it is set
}

const (
	maxWhole    = int64(1) << 52
	maxCellText = 4096
)

var schema = map[Kind][]column{
	Customer: {
		{name: ColWeight, kind: positiveCell},
		{name: ColKeyHashes, kind: listCell},
		{name: ColNote},
	},
	Budget: {
		{name: ColCustomer, required: true, refers: Customer, fixed: true},
		{name: ColServices, kind: listCell, refers: Service},
		{name: ColLimitTokens, kind: wholeCell, required: true},
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
		{name: ColService, required: true, refers: Service},
		{name: ColMaxOutputTokens, kind: positiveCell},
		{name: ColMinBytesPerToken, kind: positiveCell},
		{name: ColNote},
	},
	Endpoint: {
		{name: ColServices, kind: listCell, required: true, refers: Service},
		{name: ColZone, required: true},
		{name: ColURL, kind: urlCell, required: true},
		{name: ColMaxInFlight, kind: positiveCell},
		{name: ColWeight, kind: wholeCell},
		{name: ColChecksFence, kind: boolCell},
		{name: ColState, kind: choiceCell, choices: []string{"live", "leaving"}},
		{name: ColNote},
	},
	Weight: {
		{name: ColCustomer, refers: Customer},
		{name: ColService, refers: Service},
		{name: ColEndpoint, refers: Endpoint},
		{name: ColWeight, kind: wholeCell, required: true},
		{name: ColNote},
	},
	Limit: {
		{name: ColCustomer, refers: Customer},
		{name: ColService, refers: Service},
		{name: ColEndpoint, refers: Endpoint},
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

func columnOf(k Kind, name Column) (column, bool) {
	return lo.Find(schema[k], func(c column) bool { return c.name == name })
}

// check returns the rule that a value breaks, or "".
func (c column) check(value string) string {
	if len(value) > maxCellText {
		return "at most " + strconv.Itoa(maxCellText) + " bytes"
	}
	switch c.kind {
	case wholeCell:
		return checkWhole(value, 0)
	case positiveCell:
		return checkWhole(value, 1)
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

func checkWhole(value string, least int64) string {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < least || n > maxWhole {
		return "a whole number from " + strconv.FormatInt(least, 10) + " to " + strconv.FormatInt(maxWhole, 10)
	}
	return ""
}

// names splits a cell into the row names in it; * names none.
func (c column) names(value string) []string {
	if c.kind != listCell {
		return []string{value}
	}
	return lo.Filter(SplitList(value), func(s string, _ int) bool { return s != "*" })
}

// SplitList splits a cell that holds a list; commas and spaces part the names.
func SplitList(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' || r == ';' })
}

// ParseKind reads a kind.
func ParseKind(s string) (Kind, error) {
	if _, ok := schema[Kind(s)]; !ok {
		return "", errors.Newf("kind %q: want one of %v", s, Kinds())
	}
	return Kind(s), nil
}
