package overload

import "sync"

// IntakeRule defines when a node asks the balancer for no new connections because one customer's
// callers fill its link. The balancer sends all new connections of a customer to one node, and to
// another one only while that node is not ready. Connections that a node refuses come back to it.
type IntakeRule struct {
	// CloseAbove is the smoothed share of the link above which the node asks for no new connections.
	CloseAbove float64
	// OpenBelow is the smoothed share of the link below which it accepts them again.
	OpenBelow float64
	// HeavyShare is the minimum share of the calls from one customer. Where many customers fill a
	// node, the other nodes are as full.
	HeavyShare float64
	// Stay is the minimum number of readings for which the intake stays closed, so that the
	// balancer notices it.
	Stay int
	// Smoothing is the weight of a new reading in the smoothed share.
	Smoothing float64
	// MaxClosed is the maximum number of the heaviest customer's connections that are closed between
	// two readings, so that its callers don't all arrive elsewhere at once.
	MaxClosed int
}

// DefaultIntakeRule returns the defaults; see docs/design/14-hot-customers.md.
func DefaultIntakeRule() IntakeRule {
	return IntakeRule{CloseAbove: 0.6, OpenBelow: 0.4, HeavyShare: 0.4, Stay: 11, Smoothing: 0.5, MaxClosed: 20}
}

// Intake decides whether a node accepts new connections. It is safe for concurrent use.
type Intake struct {
	rule IntakeRule

	mu        sync.Mutex
	closed    bool
	share     float64 // smoothed share of the link in use
	unchanged int     // readings since the last change
	customer  string  // customer with the most calls, as of the last reading
	closable  int     // connections that may still be closed before the next reading
}

// NewIntake returns an intake that accepts new connections.
func NewIntake(r IntakeRule) *Intake { return &Intake{rule: r, unchanged: r.Stay} }

// Open reports whether new connections are accepted.
func (i *Intake) Open() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed
}

// Share returns the smoothed share of the link in use, as of the last reading.
func (i *Intake) Share() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.share
}

// ShouldClose reports whether a connection with a call of a customer is to be closed with its answer, so
// that the next call arrives at another node. This applies to the heaviest customer only, and only
// after the balancer must have noticed that the intake is closed: before, it would send the next
// connection here again.
func (i *Intake) ShouldClose(customer string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed || i.unchanged < i.rule.Stay || customer == "" || customer != i.customer || i.closable == 0 {
		return false
	}
	i.closable--
	return true
}

// Load is the input of one reading.
type Load struct {
	Used      float64 // share of the link in use since the last reading
	Customer  string  // customer with the most calls; empty if there were too few
	CallShare float64 // its share of the calls
	Others    bool    // other nodes of the zone can take its callers
}

// Read processes a reading and reports whether the intake opened or closed.
func (i *Intake) Read(l Load) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closable = i.rule.MaxClosed
	if l.Customer != "" {
		i.customer = l.Customer
	}
	i.share += i.rule.Smoothing * (l.Used - i.share)
	i.unchanged++
	wasClosed := i.closed
	if wasClosed && i.unchanged < i.rule.Stay {
		return false
	}
	closed := wasClosed
	switch {
	case !l.Others:
		closed = false
	case wasClosed:
		closed = i.share > i.rule.OpenBelow
	default:
		closed = i.share > i.rule.CloseAbove && l.CallShare >= i.rule.HeavyShare
	}
	if closed == wasClosed {
		return false
	}
	i.closed, i.unchanged = closed, 0
	return true
}
