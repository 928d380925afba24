package peer

import (
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

// Admission asks a slot's holder to let a request in.
type Admission struct {
	Record  holder.Record       `json:"record"`
	Budgets []holder.BudgetLine `json:"budgets,omitempty"`
	Limits  []limit.Line        `json:"limits,omitempty"`
	Weight  int64               `json:"weight,omitempty"`
	Try     int                 `json:"try,omitempty"`
}

// Verdict is the holder's answer; exactly one field is set.
type Verdict struct {
	Admitted *holder.Record   `json:"admitted,omitempty"`
	Existing *holder.Record   `json:"existing,omitempty"`
	Refused  *problem.Problem `json:"refused,omitempty"`
}

// Ending reports how a request ended.
type Ending struct {
	Record holder.Record  `json:"record"` // as the entry knows it
	Usage  holder.Usage   `json:"usage"`
	Answer *holder.Answer `json:"answer,omitempty"`
	NotRun bool           `json:"notRun,omitempty"`
	// Awaiting are attempts whose cost the entry could not learn.
	Awaiting []holder.Attempt `json:"awaiting,omitempty"`
}

// Noting adds an attempt to a request.
type Noting struct {
	Request ident.Request  `json:"requestId"`
	Attempt holder.Attempt `json:"attempt"`
	Extra   int64          `json:"extra,omitempty"` // tokens to reserve besides
}

// Known is a record, or Found false where the node has none.
type Known struct {
	Found  bool          `json:"found"`
	Record holder.Record `json:"record"`
}

// TakeOver makes another node the entry of a request.
type TakeOver struct {
	Request  ident.Request     `json:"requestId"`
	Entry    ident.Incarnation `json:"entry"`
	EntryURL string            `json:"entryUrl"`
}

// Claiming asks whether a key is known; Store leaves a copy with the runner-up.
type Claiming struct {
	Record holder.Record `json:"record"`
	Store  bool          `json:"store,omitempty"`
}

// Claimed is the answer: the record that holds the key already, or a refusal.
type Claimed struct {
	Existing *holder.Record   `json:"existing,omitempty"`
	Refused  *problem.Problem `json:"refused,omitempty"`
}

// Forgetting drops the copy of a key.
type Forgetting struct {
	Key     holder.KeyID  `json:"key"`
	Request ident.Request `json:"requestId"`
}

// Storing entrusts records to a witness.
type Storing struct {
	Records []holder.Record `json:"records"`
}

// Stored names the holder that is fenced at the witness, if one is.
type Stored struct {
	Fenced ident.Incarnation `json:"fenced,omitempty"`
}

// Dropping tells a witness which records it may forget.
type Dropping struct {
	Requests []ident.Request `json:"requests"`
}

// Fencing ends a holder at a witness.
type Fencing struct {
	Holder ident.Incarnation `json:"holder"`
}

// Fenced is what a witness knows of the fenced holder.
type Fenced struct {
	From    ident.Incarnation  `json:"from"`
	Records []holder.Record    `json:"records"`
	Last    *membership.Member `json:"last,omitempty"`
}

// Surrendering asks for tokens that another holder lacks.
type Surrendering struct {
	Slot   ident.Slot   `json:"slot"`
	Budget ident.Budget `json:"budget"`
	Need   int64        `json:"need"`
	// For is the holder that lacks them; without one they go to the pool.
	For ident.Incarnation `json:"for,omitempty"`
}

// Surrendered is what was returned to the pool.
type Surrendered struct {
	Tokens int64 `json:"tokens"`
}

// Lending asks the holder of a slot in another zone for the unused part of a limit.
type Lending struct {
	Line limit.Line `json:"line"`
}

// Lent is the part that was lent, 0 to 1 of the whole limit.
type Lent struct {
	Part float64 `json:"part"`
}

// Beat is a heartbeat and its answer.
type Beat struct {
	Members []membership.Member `json:"members"`
	Loads   []Load              `json:"loads,omitempty"`
}

// Load is an endpoint's report as one of its watchers read it.
type Load struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	InFlight int64          `json:"inFlight"`
	Queued   int64          `json:"queued"`
	Leaving  bool           `json:"leaving,omitempty"`
	Down     bool           `json:"down,omitempty"`
	// Read is when the watcher read it, in Unix milliseconds of the watcher.
	Read int64 `json:"read"`
}

// ShardAsk names a shard by its hash.
type ShardAsk struct {
	Hash string `json:"hash"`
}

// ShardAnswer is a shard, or Found false.
type ShardAnswer struct {
	Found bool         `json:"found"`
	Shard config.Shard `json:"shard"`
}

// HeadAnswer is the head in force at the peer.
type HeadAnswer struct {
	Head config.Head `json:"head"`
}

// EventsAsk asks for the events of a request, or of the node itself where it is empty.
type EventsAsk struct {
	Request ident.Request `json:"requestId,omitempty"`
}

// EventsAnswer is what the node recorded.
type EventsAnswer struct {
	Events []event.Event `json:"events"`
}

// HandOver gives a successor the keys that a leaving holder kept.
type HandOver struct {
	Keyed []holder.Record `json:"keyed"`
}

// Nothing is an empty message.
type Nothing struct{}
