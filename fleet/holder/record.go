// Package holder decides for the slots that a node holds: whether a request may
// run, from which holding it is paid, which idempotency key names it, and what
// it cost.
//
// All state is immutable and every decision is State.Handle; the runtime in
// package keeper carries out what it decides.
package holder

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Phase is where a request stands.
type Phase string

// The phases of a record.
const (
	Pending  Phase = "pending" // its key is being claimed; nothing has run
	Open     Phase = "open"    // reserved; it may be running
	Settled  Phase = "settled" // it has ended and its bill is known
	Released Phase = "released"
)

// Attempt is one try of a request at an endpoint.
type Attempt struct {
	Number   int            `json:"number"`
	Endpoint ident.Endpoint `json:"endpoint"`
	URL      string         `json:"url"`
}

// Answer is the kept answer of a plain call, for retries with the same key.
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

// Tokens is the whole cost.
func (u Usage) Tokens() int64 { return u.Prompt + u.Output }

// KeyID is a customer's idempotency key.
type KeyID string

// NewKeyID names a key of a customer.
func NewKeyID(c ident.Customer, key string) KeyID {
	return KeyID(string(c) + "\x00" + key)
}

// Record is what is known of one request; it is not changed in place.
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
	// Awaiting are attempts whose cost is not known yet; the entry is done with them.
	Awaiting []Attempt `json:"awaiting,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	At       time.Time `json:"at"`
	EndedAt  time.Time `json:"endedAt"`
	Limits   []string  `json:"limits,omitempty"`
	// Witness is the other VM that knows the record, where the entry does not serve as one.
	Witness ident.Incarnation `json:"witness,omitempty"`
	// Unasked names the zones that could not be asked for the key before it ran.
	Unasked []ident.Zone `json:"unasked,omitempty"`
	// Voided marks a request whose bill was taken back, since the same one had run
	// earlier in a zone that was cut off. A record that only carries the line that
	// takes a durable bill back is Voided too, with the cost it had.
	Voided bool `json:"voided,omitempty"`
	// Elsewhere marks a copy kept for another holder of the same slot.
	Elsewhere bool `json:"elsewhere,omitempty"`
}

// WithAttempt is the record with an attempt noted.
func (r Record) WithAttempt(a Attempt) Record {
	r.Attempts = append(append([]Attempt{}, r.Attempts...), a)
	return r
}

// WithEnd is the record settled at a cost.
func (r Record) WithEnd(u Usage, answer *Answer, at time.Time) Record {
	r.Phase, r.Usage, r.Answer, r.EndedAt = Settled, u, answer, at
	return r
}

// WithAwaiting is the open record with what is known of its cost and the
// attempts whose cost is not.
func (r Record) WithAwaiting(u Usage, attempts []Attempt) Record {
	r.Usage, r.Awaiting = u, attempts
	return r
}

// WithHolder is the record under another holder.
func (r Record) WithHolder(h ident.Incarnation) Record {
	r.Holder = h
	return r
}

// WithEntry is the record with another entry.
func (r Record) WithEntry(i ident.Incarnation, url string) Record {
	r.Entry, r.EntryURL = i, url
	return r
}

// WithWitness is the record with another VM that knows it.
func (r Record) WithWitness(i ident.Incarnation) Record {
	r.Witness = i
	return r
}

// Second is the VM besides the holder that knows the record, or "".
func (r Record) Second() ident.Incarnation {
	if r.Witness != "" {
		return r.Witness
	}
	if r.Entry != r.Holder {
		return r.Entry
	}
	return ""
}

// Plus adds two costs.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Prompt: u.Prompt + other.Prompt, Output: u.Output + other.Output}
}

// Bill is what the settled request cost.
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

// Billable reports whether the record ended with a cost against a budget.
func (r Record) Billable() bool {
	return r.Phase == Settled && r.Budget != "" && r.Usage.Tokens() > 0
}
