package overload

import "sync"

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
	Sends int     // of the heaviest customer's connections that are closed between two readings at most, so that callers don't arrive elsewhere at one moment
}

// DefaultIntakeRule is what measurements led to; docs/design/14-hot-customers.md.
func DefaultIntakeRule() IntakeRule {
	return IntakeRule{Full: 0.6, Room: 0.4, Heavy: 0.4, Stay: 11, Part: 0.5, Sends: 20}
}

// Intake decides whether new connections are welcome. It is safe for concurrent use.
type Intake struct {
	rule IntakeRule

	mu       sync.Mutex
	closed   bool
	share    float64 // of the link, smoothed
	held     int     // readings since the last change
	customer string  // that sent most calls, as of the last reading
	sends    int     // connections that may still be closed until the next reading
}

// NewIntake returns an intake that welcomes new connections.
func NewIntake(r IntakeRule) *Intake { return &Intake{rule: r, held: r.Stay} }

// Open is whether new connections are welcome.
func (i *Intake) Open() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed
}

// Share is the smoothed share of the link that is used, as of the last reading.
func (i *Intake) Share() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.share
}

// Send is whether a connection that brought a call of a customer is to be closed with its
// answer, so that the next call arrives at another node: only of the heaviest customer,
// and only once the balancer has surely noticed that no connection is welcome here, since
// it would send the next one here again before.
func (i *Intake) Send(customer string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed || i.held < i.rule.Stay || customer == "" || customer != i.customer || i.sends == 0 {
		return false
	}
	i.sends--
	return true
}

// Load is a reading of what an intake looks at.
type Load struct {
	Used     float64 // share of the link since the last reading
	Customer string  // that sent most calls; none where too few came to tell
	OfCalls  float64 // its share of them
	Others   bool    // other nodes of the zone could take its callers
}

// Read takes in a reading; true where the intake changed its mind.
func (i *Intake) Read(l Load) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sends = i.rule.Sends
	if l.Customer != "" {
		i.customer = l.Customer
	}
	i.share += i.rule.Part * (l.Used - i.share)
	i.held++
	was := i.closed
	if was && i.held < i.rule.Stay {
		return false
	}
	now := was
	switch {
	case !l.Others:
		now = false
	case was:
		now = i.share > i.rule.Room
	default:
		now = i.share > i.rule.Full && l.OfCalls >= i.rule.Heavy
	}
	if now == was {
		return false
	}
	i.closed, i.held = now, 0
	return true
}
