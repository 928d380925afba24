package rollout

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Message is an input of a Decider. The interface is sealed.
type Message interface{ message() }

// Learned carries the rollout as the store holds it now.
type Learned struct {
	Rollout Rollout
	Now     time.Time
}

// Gone reports that the order was deleted.
type Gone struct{}

// Told carries what all nodes have observed so far.
type Told struct {
	Evidence Evidence
	Now      time.Time
}

// Heard reports that another node found the target of an order bad.
type Heard struct {
	Target string
	Made   int64
	Why    string
	Now    time.Time
}

// Tick is the current time, and what is known of the endpoints at it.
type Tick struct {
	Now         time.Time
	Old, Target int           // endpoints that accept new work, by version
	Cohorts     int           // number of cohorts in which the target's endpoints fall; 0 if unknown
	Cold        int           // endpoints of the target that are slow after their start
	OldInFlight int           // calls at old endpoints, by the nodes' digests and the endpoints' signals
	Lasts       time.Duration // how long the longest calls at old endpoints may still take
	Decides     bool          // this node writes; the others only judge
}

// Refused reports that a write did not take effect: another node wrote, or the store is unavailable.
// The next tick retries with what was learned meanwhile.
type Refused struct{ Now time.Time }

func (Learned) message() {}
func (Gone) message()    {}
func (Told) message()    {}
func (Heard) message()   {}
func (Tick) message()    {}
func (Refused) message() {}

// Effect is an output of a Decider. The interface is sealed.
type Effect interface{ effect() }

// Write requests that the status is written if the object still has this revision.
type Write struct {
	Status   Status
	Revision store.Revision
	Why      string // for the log
}

// Warn requests an immediate announcement to all nodes that the target of an order is bad.
type Warn struct {
	Service string
	Target  string
	Made    int64
	Why     string
}

func (Write) effect() {}
func (Warn) effect()  {}
