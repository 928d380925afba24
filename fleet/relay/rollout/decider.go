package rollout

import "time"

// Rule is the operator's bounds on what a bad version may get, and what is planned of
// them. All of them are settings.
type Rule struct {
	Share     float64       // of all calls of the service from the order to its end: a bad target gets no more
	Tolerance int           // calls beyond that
	Rollback  time.Duration // after so many bad answers that it shows, the target gets nothing by then
}

// Message is what a decider is told: sealed.
type Message interface{ message() }

// Learned is the rollout as the store holds it now.
type Learned struct {
	Rollout Rollout
	Now     time.Time
}

// Gone says that the order was taken away.
type Gone struct{}

// Told is what nodes together have seen so far.
type Told struct {
	Evidence Evidence
	Now      time.Time
}

// Tick is a moment, and what is known of the endpoints at it.
type Tick struct {
	Now         time.Time
	Old, Target int           // endpoints that take new work, by version
	OldInFlight int           // calls at old endpoints, by the nodes' digests and the endpoints' own word
	Lasts       time.Duration // how long the longest calls may still take at old endpoints
	Decides     bool          // this node is the one that writes; the others judge only
}

// Refused says that a write did not take effect: another node wrote, or the store is
// away. The next tick tries again from what was learned meanwhile.
type Refused struct{ Now time.Time }

func (Learned) message() {}
func (Gone) message()    {}
func (Told) message()    {}
func (Tick) message()    {}
func (Refused) message() {}

// Effect is what a decider asks for: sealed.
type Effect interface{ effect() }

// Write asks for the status to be written if the object's revision still holds.
type Write struct {
	Status   Status
	Revision int64
	Why      string // for the log
}

// Warn asks for every node to be told at once that the target of an order is bad.
type Warn struct {
	Service string
	Target  string
	Made    int64
	Why     string
}

func (Write) effect() {}
func (Warn) effect()  {}
