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

// AdmitRequest asks a slot's holder to admit a request.
type AdmitRequest struct {
	Record  holder.Record       `json:"record"`
	Budgets []holder.BudgetLine `json:"budgets,omitempty"`
	Limits  []limit.Line        `json:"limits,omitempty"`
	Weight  int64               `json:"weight,omitempty"`
	Try     int                 `json:"try,omitempty"`
}

// AdmitResponse is the holder's answer; exactly one field is set.
type AdmitResponse struct {
	Admitted *holder.Record   `json:"admitted,omitempty"`
	Existing *holder.Record   `json:"existing,omitempty"`
	Refused  *problem.Problem `json:"refused,omitempty"`
}

// EndRequest reports how a request ended.
type EndRequest struct {
	Record holder.Record  `json:"record"` // as the entry has it
	Usage  holder.Usage   `json:"usage"`
	Answer *holder.Answer `json:"answer,omitempty"`
	NotRun bool           `json:"notRun,omitempty"`
	// Awaiting are the attempts whose cost is not known to the entry.
	Awaiting []holder.Attempt `json:"awaiting,omitempty"`
}

// NoteRequest adds an attempt to a request.
type NoteRequest struct {
	Request ident.Request  `json:"requestId"`
	Attempt holder.Attempt `json:"attempt"`
	Extra   int64          `json:"extra,omitempty"` // tokens to reserve in addition
}

// RecordLookup carries a record; Found is false if the node has none.
type RecordLookup struct {
	Found  bool          `json:"found"`
	Record holder.Record `json:"record"`
}

// TakeOver makes another node the entry of a request.
type TakeOver struct {
	Request  ident.Request     `json:"requestId"`
	Entry    ident.Incarnation `json:"entry"`
	EntryURL string            `json:"entryUrl"`
}

// ClaimRequest asks whether an idempotency key is known. Store asks to keep a copy; it is set for
// the nodes that rank next for the slot.
type ClaimRequest struct {
	Record holder.Record `json:"record"`
	Store  bool          `json:"store,omitempty"`
}

// ClaimResponse answers a ClaimRequest with the record that already holds the key, or with a refusal.
type ClaimResponse struct {
	Existing *holder.Record   `json:"existing,omitempty"`
	Refused  *problem.Problem `json:"refused,omitempty"`
}

// ForgetRequest deletes the copy of a key.
type ForgetRequest struct {
	Key     holder.KeyID  `json:"key"`
	Request ident.Request `json:"requestId"`
}

// StoreRequest stores records with a witness.
type StoreRequest struct {
	Records []holder.Record `json:"records"`
}

// StoreResponse answers a StoreRequest with the holder that is fenced at the witness, if any.
type StoreResponse struct {
	Fenced ident.Incarnation `json:"fenced,omitempty"`
}

// DropRequest names the records that a witness may delete.
type DropRequest struct {
	Requests []ident.Request `json:"requests"`
}

// FenceRequest asks a witness to fence a holder: to accept no more records from it.
type FenceRequest struct {
	Holder ident.Incarnation `json:"holder"`
}

// FenceResponse answers a FenceRequest with the witness's records of the fenced holder.
type FenceResponse struct {
	From    ident.Incarnation  `json:"from"`
	Records []holder.Record    `json:"records"`
	Last    *membership.Member `json:"last,omitempty"`
}

// SurrenderRequest asks a holder for tokens that another holder needs.
type SurrenderRequest struct {
	Slot   ident.Slot   `json:"slot"`
	Budget ident.Budget `json:"budget"`
	Need   int64        `json:"need"`
	// For is the holder that needs them; if empty, they return to the pool.
	For ident.Incarnation `json:"for,omitempty"`
}

// SurrenderResponse answers a SurrenderRequest with the tokens returned to the pool.
type SurrenderResponse struct {
	Tokens int64 `json:"tokens"`
}

// LendRequest asks the holder of a slot in another zone for the unused share of a limit.
type LendRequest struct {
	Line limit.Line `json:"line"`
}

// LendResponse answers a LendRequest with the share that was lent, 0 to 1 of the whole limit.
type LendResponse struct {
	Part float64 `json:"part"`
}

// Beat is a heartbeat or its answer.
type Beat struct {
	Members []membership.Member `json:"members"`
	Loads   []Load              `json:"loads,omitempty"`
}

// Load is an endpoint's load as one of its watchers read it.
type Load struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	InFlight int64          `json:"inFlight"`
	Queued   int64          `json:"queued"`
	Leaving  bool           `json:"leaving,omitempty"`
	Down     bool           `json:"down,omitempty"`
	// Read is when the watcher read it, in Unix milliseconds of the watcher's clock.
	Read int64 `json:"read"`
}

// ShardRequest names a shard by its hash.
type ShardRequest struct {
	Hash string `json:"hash"`
}

// ShardResponse carries a shard; Found is false if the peer does not have it.
type ShardResponse struct {
	Found bool         `json:"found"`
	Shard config.Shard `json:"shard"`
}

// HeadResponse carries the head in force at the peer.
type HeadResponse struct {
	Head config.Head `json:"head"`
}

// EventsRequest asks for the events of a request, or of the node itself if Request is empty.
type EventsRequest struct {
	Request ident.Request `json:"requestId,omitempty"`
}

// EventsResponse carries the events that the node recorded.
type EventsResponse struct {
	Events []event.Event `json:"events"`
}

// HandOver passes the idempotency keys of a leaving holder to its successor.
type HandOver struct {
	Keyed []holder.Record `json:"keyed"`
}

// Nothing is an empty message.
type Nothing struct{}
