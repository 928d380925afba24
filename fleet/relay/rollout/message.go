package rollout

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Message is an input of a Decider. The interface is sealed.
type Message interface{ message() }

// StatusLearned carries the rollout as the store holds it now.
type StatusLearned struct {
	Rollout Rollout
	Now     time.Time
}

// OrderDeleted reports that the order was deleted.
type OrderDeleted struct{}

// EvidenceUpdated carries what all nodes have observed so far.
type EvidenceUpdated struct {
	Evidence Evidence
	Now      time.Time
}

// ReportedBad reports that another node found the target of an order bad.
type ReportedBad struct {
	Target string
	Made   int64
	Why    string
	Now    time.Time
}

// Tick is the current time, and what is known of the endpoints at it.
type Tick struct {
	Now          time.Time
	Old, Target  int           // endpoints that accept new work, by version
	Cohorts      int           // number of cohorts in which the target's endpoints fall; 0 if unknown
	Cold         int           // endpoints of the target that are slow after their start
	OldInFlight  int           // calls at old endpoints, by the nodes' digests and the endpoints' signals
	MaxRemaining time.Duration // how long the longest calls at old endpoints may still take
	Decides      bool          // this node writes; the others only judge
}

// WriteRefused reports that a write did not take effect: another node wrote, or the store is unavailable.
// The next tick retries with what was learned meanwhile.
type WriteRefused struct{ Now time.Time }

func (StatusLearned) message()   {}
func (OrderDeleted) message()    {}
func (EvidenceUpdated) message() {}
func (ReportedBad) message()     {}
func (Tick) message()            {}
func (WriteRefused) message()    {}

// Effect is an output of a Decider. The interface is sealed.
type Effect interface{ effect() }

// Write requests that the status is written if the object still has this revision.
type Write struct {
	Status   Status
	Revision store.Revision
	Why      string // for the log
}

// AnnounceBad requests an immediate announcement to all nodes that the target of an order is bad.
type AnnounceBad struct {
	Service string
	Target  string
	Made    int64
	Why     string
}

func (Write) effect()       {}
func (AnnounceBad) effect() {}
