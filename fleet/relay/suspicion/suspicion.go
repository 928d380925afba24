// Package suspicion detects failing endpoints by the failures that nodes report to each other. An
// endpoint is avoided if two nodes report failures, or if one does and this node observed a failure
// itself. The report of a single node is never enough. All state belongs to one incarnation of an
// endpoint.
package suspicion

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Outcome is how a call at an endpoint ended.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	Failed              // bad, partial or late answer: healthy endpoints have some, and the delay may be the node's own
	Interrupted         // the endpoint closed the connection instead of answering: healthy ones hardly ever do
)

// Report reports failures at one incarnation of an endpoint.
type Report struct {
	Endpoint  string     `json:"e"`
	Born      int64      `json:"b,omitempty"`
	Reporters []Reporter `json:"t"` // nodes that observed them
}

// Reporter is a node that observed failures lately.
type Reporter struct {
	Node        string `json:"n"`
	AgeMs       int64  `json:"a"`           // since the last failure, when the message was sent
	Interrupted bool   `json:"c,omitempty"` // it was an interrupted call
}

func (r Report) incarnation() engine.Incarnation {
	return engine.Incarnation{ID: r.Endpoint, Born: r.Born}
}

// Rule defines when reports count, and how long an endpoint is avoided.
type Rule struct {
	Window        time.Duration // maximum age of failures and successes
	MinReporters  int           // nodes, including this one, that must have observed interrupted calls
	ZoneShare     float64       // fraction of the nodes whose reports count that must have observed failures of any kind, at least MinReporters nodes: healthy endpoints fail a few hundredths of their calls
	MaxReporters  int           // upper bound of that number of nodes
	FailureShare  float64       // fraction of a node's own calls that must fail before it reports them
	OwnSuccesses  int           // recent own successes, without a failure, that outweigh reports of others
	MaxAvoided    float64       // fraction of a service's endpoints that may be avoided at once due to reports; one of two endpoints may be
	LinkShare     float64       // fraction of a service's endpoints, overall or in a zone, that a node may suspect; beyond it the node's own link has probably failed
	Hold          time.Duration // how long an endpoint is avoided after its last failure
	MaxHold       time.Duration // maximum of Hold for an endpoint that fails repeatedly
	Spread        time.Duration // time over which nodes return to an endpoint one after the other, at most Hold: the first ones report it to the others if it still fails
	RepeatWindow  time.Duration // time after the end of a suspicion period in which a failure doubles Hold
	ProbeShare    float64       // last fraction of Hold in which idempotent calls probe the endpoint
	ProbeOneIn    uint64        // one in so many of these calls is a probe
	ProbeInterval time.Duration // between two probes of a node at an endpoint
}

// DefaultRule returns the values derived from the simulation in model_test.go; see
// docs/design/17-told-failures.md.
func DefaultRule() Rule {
	return Rule{
		Window: 1500 * time.Millisecond, MinReporters: 2, ZoneShare: 1.0 / 3, MaxReporters: 12, FailureShare: 0.25, OwnSuccesses: 3,
		MaxAvoided: 1.0 / 3, LinkShare: 0.5, Hold: time.Second, MaxHold: 8 * time.Second, Spread: 2 * time.Second, RepeatWindow: 10 * time.Second,
		ProbeShare: 0.5, ProbeOneIn: 2, ProbeInterval: 500 * time.Millisecond,
	}
}

// Bounds of the reports that are sent.
const (
	maxReports          = 8  // endpoints per message
	maxReporters        = 12 // nodes per endpoint
	minAnnounceInterval = time.Second
)

// Avoided describes the start of a suspicion period.
type Avoided struct {
	Engine    engine.Engine
	Reporters []Reporter
	For       time.Duration // until the first node uses the endpoint again
	Repeated  bool          // it failed again soon after the previous period
}
