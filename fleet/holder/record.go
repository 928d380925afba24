// Package holder decides, for the slots that a node holds, whether a request may
// run, which budget pays for it, whether its idempotency key is free, and what it
// cost.
//
// All state is immutable and every decision is made by State.Handle. Package keeper
// carries out the effects that it returns.
package holder

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Phase is the stage of a request's lifecycle.
type Phase string

// The phases of a record.
const (
	Pending  Phase = "pending" // its key is being claimed; nothing has run
	Open     Phase = "open"    // its tokens are reserved; it may be running
	Settled  Phase = "settled" // it has ended and its bill is known
	Released Phase = "released"
)

// Attempt is one attempt to run a request at an endpoint.
type Attempt struct {
	Number   int            `json:"number"`
	Endpoint ident.Endpoint `json:"endpoint"`
	URL      string         `json:"url"`
}

// Answer is the stored answer of a plain call, returned to retries with the same key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Usage is what a request cost, in tokens.
type Usage struct {
	Prompt int64 `json:"promptTokens"`
	Output int64 `json:"outputTokens"`
}

// Tokens returns the total cost.
func (u Usage) Tokens() int64 { return u.Prompt + u.Output }

// KeyID is a customer's idempotency key.
type KeyID string

// NewKeyID returns the id of a customer's key.
func NewKeyID(c ident.Customer, key string) KeyID {
	return KeyID(string(c) + "\x00" + key)
}

// Record is the state of one request. It is immutable.
type Record struct {
	Request    ident.Request     `json:"requestId"`
	Slot       ident.Slot        `json:"slot"`
	Customer   ident.Customer    `json:"customer"`
	Service    ident.Service     `json:"service"`
	Budget     ident.Budget      `json:"budget,omitempty"`
	Key        KeyID             `json:"key,omitempty"`
	BodyHash   string            `json:"bodyHash,omitempty"`
	Repeatable bool              `json:"repeatable,omitempty"`
	Model      bool              `json:"model,omitempty"`
	Holder     ident.Incarnation `json:"holder"`
	Entry      ident.Incarnation `json:"entry"`
	EntryURL   string            `json:"entryUrl"`
	Bound      int64             `json:"bound"` // reserved tokens, the worst case
	Phase      Phase             `json:"phase"`
	Attempts   []Attempt         `json:"attempts,omitempty"`
	Usage      Usage             `json:"usage"`
	// Awaiting lists the attempts whose cost is not known yet; the entry VM no longer handles them.
	Awaiting []Attempt `json:"awaiting,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	At       time.Time `json:"at"`
	EndedAt  time.Time `json:"endedAt"`
	Limits   []string  `json:"limits,omitempty"`
	// Witness is the other VM that stores the record, if the entry VM is not the witness.
	Witness ident.Incarnation `json:"witness,omitempty"`
	// Unasked lists the zones that could not be asked for the key before the request ran.
	Unasked []ident.Zone `json:"unasked,omitempty"`
	// Voided marks a request whose bill was reversed, since the same request had run
	// earlier in an unreachable zone. A record that only carries the negative bill which
	// reverses a durable one is Voided too, with the original cost.
	Voided bool `json:"voided,omitempty"`
	// Elsewhere marks a copy of a record of another holder of the same slot.
	Elsewhere bool `json:"elsewhere,omitempty"`
}

// WithAttempt returns the record with an attempt added.
func (r Record) WithAttempt(a Attempt) Record {
	r.Attempts = append(append([]Attempt{}, r.Attempts...), a)
	return r
}

// WithEnd returns the record settled at a cost.
func (r Record) WithEnd(u Usage, answer *Answer, at time.Time) Record {
	r.Phase, r.Usage, r.Answer, r.EndedAt = Settled, u, answer, at
	return r
}

// WithAwaiting returns the open record with its cost as far as known and the
// attempts whose cost is not known.
func (r Record) WithAwaiting(u Usage, attempts []Attempt) Record {
	r.Usage, r.Awaiting = u, attempts
	return r
}

// WithHolder returns the record under another holder.
func (r Record) WithHolder(h ident.Incarnation) Record {
	r.Holder = h
	return r
}

// WithEntry returns the record with another entry VM.
func (r Record) WithEntry(i ident.Incarnation, url string) Record {
	r.Entry, r.EntryURL = i, url
	return r
}

// WithWitness returns the record with the VM that stores a copy of it.
func (r Record) WithWitness(i ident.Incarnation) Record {
	r.Witness = i
	return r
}

// Second returns the VM besides the holder that stores the record, or "" if there is none.
func (r Record) Second() ident.Incarnation {
	if r.Witness != "" {
		return r.Witness
	}
	if r.Entry != r.Holder {
		return r.Entry
	}
	return ""
}

// Plus returns the sum of two costs.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Prompt: u.Prompt + other.Prompt, Output: u.Output + other.Output}
}

// Bill returns the bill of the settled request. The bill of a voided one is negative.
func (r Record) Bill() bill.Bill {
	if r.Voided {
		r.Usage = Usage{Prompt: -r.Usage.Prompt, Output: -r.Usage.Output}
	}
	return bill.Bill{
		Request:      r.Request,
		Customer:     r.Customer,
		Budget:       r.Budget,
		Service:      r.Service,
		PromptTokens: r.Usage.Prompt,
		OutputTokens: r.Usage.Output,
		Tokens:       r.Usage.Tokens(),
		Node:         r.Entry.Node(),
		At:           r.EndedAt,
		Void:         r.Voided,
	}
}

// Billable reports whether the request is settled with a cost charged to a budget.
func (r Record) Billable() bool {
	return r.Phase == Settled && r.Budget != "" && r.Usage.Tokens() > 0
}
