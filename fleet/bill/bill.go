// Package bill defines the bills of requests, one for each request that ran and cost tokens.
package bill

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Bill is the cost of one request, in tokens.
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
	// Void marks a bill that reverses a durable one; its tokens are negative.
	Void bool `json:"void,omitempty"`
}

// Segment is a batch of bills of one incarnation, stored as an immutable object in the platform.
type Segment struct {
	Holder ident.Incarnation `json:"holder"`
	Bills  []Bill            `json:"bills"`
}

// Unique removes duplicate bills and the bills of voided requests, and sorts the
// remaining ones by time.
func Unique(bills []Bill) []Bill {
	voided := map[ident.Request]bool{}
	for _, b := range bills {
		voided[b.Request] = voided[b.Request] || b.Void
	}
	valid := lo.Filter(bills, func(b Bill, _ int) bool { return !voided[b.Request] })
	unique := lo.UniqBy(valid, func(b Bill) ident.Request { return b.Request })
	sort.Slice(unique, func(i, j int) bool {
		if unique[i].At.Equal(unique[j].At) {
			return unique[i].Request < unique[j].Request
		}
		return unique[i].At.Before(unique[j].At)
	})
	return unique
}
