package overload

import "sync/atomic"

// IntakeRule says when a node asks the balancer for no new connections, since one
// customer's callers fill its link: the balancer sends a customer's new connections to
// one node, and to another one only while that node is not ready. What a node refuses
// comes back to it.
type IntakeRule struct {
	Full  float64 // share of the link, smoothed, from which no new connection is welcome
	Room  float64 // share below which they are again
	Heavy float64 // share of the calls that one customer sends at least: where many customers fill a node, the others are as full
	Stay  int     // readings for which no connection is welcome at least, so that the balancer notices it
	Part  float64 // of a new reading in the smoothed share
}

// DefaultIntakeRule is what measurements led to; docs/design/14-hot-customers.md.
func DefaultIntakeRule() IntakeRule {
	return IntakeRule{Full: 0.6, Room: 0.4, Heavy: 0.4, Stay: 15, Part: 0.5}
}

// Intake decides whether new connections are welcome. Read is for one goroutine.
type Intake struct {
	rule   IntakeRule
	closed atomic.Bool
	share  float64 // of the link, smoothed
	held   int     // readings since the last change
}

// NewIntake returns an intake that welcomes new connections.
func NewIntake(r IntakeRule) *Intake { return &Intake{rule: r, held: r.Stay} }

// Open is whether new connections are welcome.
func (i *Intake) Open() bool { return !i.closed.Load() }

// Share is the smoothed share of the link that is used, as of the last reading.
func (i *Intake) Share() float64 { return i.share }

// Read takes in how full the link was since the last reading, which share of the calls
// the heaviest customer sent and whether other nodes of the zone could take its callers;
// true where it changed its mind.
func (i *Intake) Read(used, heaviest float64, others bool) bool {
	i.share += i.rule.Part * (used - i.share)
	i.held++
	was := i.closed.Load()
	if was && i.held < i.rule.Stay {
		return false
	}
	now := was
	switch {
	case !others:
		now = false
	case was:
		now = i.share > i.rule.Room
	default:
		now = i.share > i.rule.Full && heaviest >= i.rule.Heavy
	}
	if now == was {
		return false
	}
	i.closed.Store(now)
	i.held = 0
	return true
}
