// Package operator implements the operators' API: the table, the status of the fleet, budgets,
// bills, and the decisions on each request.
package operator

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
)

// Report is the state of one node, sent to the node that serves an operator.
type Report struct {
	Node        ident.Node              `json:"node"`
	Zone        ident.Zone              `json:"zone"`
	Incarnation ident.Incarnation       `json:"incarnation"`
	State       string                  `json:"state"`
	Revision    int64                   `json:"revision"`
	Running     int                     `json:"running"`
	Endpoints   []dispatch.State        `json:"endpoints"`
	Holdings    []holder.Holding        `json:"holdings"`
	Bills       []bill.Bill             `json:"bills"` // settled on the node and not durable yet
	Stranded    []keeper.StrandedHolder `json:"stranded"`
	Degraded    []Degraded              `json:"degraded"`
	Events      []event.Event           `json:"events"`
}

// Degraded is a part of the fleet that does not work properly, and the reason.
type Degraded struct {
	What  string    `json:"what"`
	Why   string    `json:"why"`
	Since time.Time `json:"since"`
}

// NodeStatus is the state of one node.
type NodeStatus struct {
	Name     ident.Node `json:"name"`
	Zone     ident.Zone `json:"zone"`
	State    string     `json:"state"`
	Revision int64      `json:"revision"`
	Why      string     `json:"why,omitempty"` // reason why it is unreachable or not at the newest revision
}

// Status is the state of the fleet as one node observes it.
type Status struct {
	Revision  int64            `json:"revision"`
	Nodes     []NodeStatus     `json:"nodes"`
	Endpoints []dispatch.State `json:"endpoints"`
	Degraded  []Degraded       `json:"degraded"`
	Events    []event.Event    `json:"events"`
}

// ZoneHolding is the share of a budget that one node holds.
type ZoneHolding struct {
	Zone     ident.Zone `json:"zone"`
	Node     ident.Node `json:"node"`
	Tokens   int64      `json:"tokens"`
	Settled  int64      `json:"settled"`
	Reserved int64      `json:"reserved"`
	Stranded bool       `json:"stranded,omitempty"`
	Why      string     `json:"why,omitempty"`
}

// BudgetStatus is the state of one budget: limit = spent + reserved + available + stranded.
type BudgetStatus struct {
	Name      ident.Budget   `json:"name"`
	Customer  ident.Customer `json:"customer"`
	Limit     int64          `json:"limit"`
	Spent     int64          `json:"spent"`
	Reserved  int64          `json:"reserved"`
	Available int64          `json:"available"`
	Stranded  int64          `json:"stranded"`
	Holdings  []ZoneHolding  `json:"holdings"`
	// AsOf is "ledger" while the platform answers, and otherwise "nodes".
	AsOf string `json:"asOf"`
}

// Explanation holds the decisions on a request.
type Explanation struct {
	Request     ident.Request `json:"requestId"`
	Events      []event.Event `json:"events"`
	Unreachable []ident.Node  `json:"unreachable"`
	Bill        *bill.Bill    `json:"bill,omitempty"`
}
