// Package bill holds the bills of requests: one for each request that ran.
package bill

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Bill is what one request cost, in tokens.
type Bill struct {
	Request      ident.Request  `json:"requestId"`
	Customer     ident.Customer `json:"customer"`
	Budget       ident.Budget   `json:"budget"`
	Service      ident.Service  `json:"service"`
	PromptTokens int64          `json:"promptTokens"`
	OutputTokens int64          `json:"outputTokens"`
	Tokens       int64          `json:"tokens"`
	Node         ident.Node     `json:"node"`
	At           time.Time      `json:"at"`
	// Void marks a line that takes a durable bill back: its tokens are negative.
	Void bool `json:"void,omitempty"`
}

// Segment is a batch of bills of one incarnation, an immutable object of the platform.
type Segment struct {
	Holder ident.Incarnation `json:"holder"`
	Bills  []Bill            `json:"bills"`
}

// Unique drops the bills of requests that stand twice or were taken back, and
// orders the rest by time.
func Unique(bills []Bill) []Bill {
	voided := map[ident.Request]bool{}
	for _, b := range bills {
		voided[b.Request] = voided[b.Request] || b.Void
	}
	standing := lo.Filter(bills, func(b Bill, _ int) bool { return !voided[b.Request] })
	unique := lo.UniqBy(standing, func(b Bill) ident.Request { return b.Request })
	sort.Slice(unique, func(i, j int) bool {
		if unique[i].At.Equal(unique[j].At) {
			return unique[i].Request < unique[j].Request
		}
		return unique[i].At.Before(unique[j].At)
	})
	return unique
}
