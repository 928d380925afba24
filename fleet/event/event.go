// Package event records the decisions of a node and their reasons in bounded memory.
package event

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Step is the step in the processing of a request or an account at which a decision was made.
type Step string

// The steps.
const (
	Authenticate Step = "authenticate"
	Queue        Step = "queue"
	Choose       Step = "choose"
	Admit        Step = "admit"
	Claim        Step = "claim"
	Send         Step = "send"
	Stream       Step = "stream"
	Resume       Step = "resume"
	Retry        Step = "retry"
	Settle       Step = "settle"
	Cancel       Step = "cancel"
	Flush        Step = "flush"
	Draw         Step = "draw"
	Return       Step = "return"
	Recall       Step = "recall"
	Close        Step = "close-account"
	Adopt        Step = "adopt"
	Eject        Step = "eject"
	Configure    Step = "configure"
	Member       Step = "membership"
	Drain        Step = "drain"
	Order        Step = "order"
)

// Event is one decision.
type Event struct {
	At       time.Time     `json:"at"`
	Node     ident.Node    `json:"node"`
	Request  ident.Request `json:"requestId,omitempty"`
	Step     Step          `json:"step"`
	Peer     string        `json:"peer,omitempty"`
	Decision string        `json:"decision"`
	Reason   string        `json:"reason,omitempty"`
}

// Log is a ring buffer of a node's last events; New creates it.
type Log struct {
	node ident.Node
	now  func() time.Time

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// New creates a log of at most size events.
func New(node ident.Node, size int, now func() time.Time) *Log {
	return &Log{node: node, now: now, events: make([]Event, size)}
}

// Add records an event and sets its time and node.
func (l *Log) Add(e Event) {
	e.At, e.Node = l.now(), l.node
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
	l.full = l.full || l.next == 0
}

// ByRequest returns the events of one request, oldest first.
func (l *Log) ByRequest(id ident.Request) []Event {
	return lo.Filter(l.All(), func(e Event, _ int) bool { return e.Request == id })
}

// Fleet returns the last n events that belong to no request, oldest first.
func (l *Log) Fleet(n int) []Event {
	found := lo.Filter(l.All(), func(e Event, _ int) bool { return e.Request == "" })
	return found[max(0, len(found)-n):]
}

// All returns all events in the log, oldest first.
func (l *Log) All() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return append([]Event{}, l.events[:l.next]...)
	}
	return append(append([]Event{}, l.events[l.next:]...), l.events[:l.next]...)
}
