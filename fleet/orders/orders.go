// Package orders decides which models engines are ordered to load, and by which node.
//
// In each zone one node gives orders under a lease in the platform. The version of the
// lease's object is the fencing token of its orders. The loads that the rows require and
// that were not ordered yet are ordered one at a time, the model with the most waiting
// calls first, and no faster than the weight store allows.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// Times of the lease and of the orders.
const (
	// LeaseTime is the duration of a lease.
	LeaseTime = 15 * time.Second
	// clockSkew is the maximum difference between the clocks of two VMs.
	clockSkew = 5 * time.Second
	// orderInterval is the minimum time between two orders in a zone, so that a zone
	// never loads on several engines at once.
	orderInterval = 2 * time.Second
)

// Key returns the platform's key of a zone's lease.
func Key(z ident.Zone) string { return "orders/" + string(z) }

// Load is a model that an engine was ordered to load.
type Load struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	Model    string         `json:"model"`
}

// Lease is the object of a zone: which node gives orders until when, and what was ordered.
type Lease struct {
	Giver ident.Incarnation `json:"giver"`
	Until time.Time         `json:"until"`
	Done  []Load            `json:"done"`
}

// Engine is an engine that orders may be sent to.
type Engine struct {
	Name        ident.Endpoint
	URL         string
	ChecksFence bool
	Models      []string // required by its row
}

// Input is everything that one decision depends on.
type Input struct {
	At      time.Time
	Self    ident.Incarnation
	Lease   Lease
	Version platform.Version // of the lease's object
	// GiverGone reports evidence that the giver's incarnation has ended.
	GiverGone bool
	// PreviousUntil is the end of the lease that this node took over from another.
	PreviousUntil time.Time
	LastOrder     time.Time              // when this node last gave an order
	Engines       []Engine               // of the zone
	Waiting       func(model string) int // calls that wait for the model
}

// Effect is the result of a decision: a Nothing, TakeLease or SendOrder.
type Effect interface{ effect() }

// Nothing requires no action.
type Nothing struct{ Why string }

// TakeLease requires the lease to be written if its object still has the version.
type TakeLease struct {
	Lease   Lease
	Version platform.Version
}

// SendOrder requires an order to be sent and then recorded in the lease.
type SendOrder struct {
	Engine Engine
	Load   Load
	Fence  platform.Version
}

func (Nothing) effect()   {}
func (TakeLease) effect() {}
func (SendOrder) effect() {}

// Decide makes one decision.
func Decide(s Input) Effect {
	holdsLease := s.Lease.Giver == s.Self && s.At.Before(s.Lease.Until)
	switch {
	case holdsLease && s.Lease.Until.Sub(s.At) > LeaseTime/2:
		return s.next()
	case s.Lease.Giver == "" || s.Lease.Giver == s.Self || s.GiverGone || s.At.After(s.Lease.Until.Add(clockSkew)):
		lease := s.Lease
		lease.Giver, lease.Until = s.Self, s.At.Add(LeaseTime)
		return TakeLease{Lease: lease, Version: s.Version}
	default:
		return Nothing{Why: "another node gives the orders"}
	}
}

// next picks the order whose model has the most waiting calls.
func (s Input) next() Effect {
	if s.At.Sub(s.LastOrder) < orderInterval {
		return Nothing{Why: "one order at a time"}
	}
	var open []SendOrder
	for _, e := range s.Engines {
		// An engine that does not check fences may still accept an order of the previous
		// giver, until that lease has expired by every clock.
		if !e.ChecksFence && s.At.Before(s.PreviousUntil.Add(clockSkew)) {
			continue
		}
		for _, m := range e.Models {
			if load := (Load{Endpoint: e.Name, Model: m}); !slices.Contains(s.Lease.Done, load) {
				open = append(open, SendOrder{Engine: e, Load: load, Fence: s.Version})
			}
		}
	}
	if len(open) == 0 {
		return Nothing{Why: "all is ordered"}
	}
	slices.SortStableFunc(open, func(x, y SendOrder) int {
		return cmp.Or(s.Waiting(y.Load.Model)-s.Waiting(x.Load.Model), cmp.Compare(x.Load.Model, y.Load.Model), cmp.Compare(x.Load.Endpoint, y.Load.Endpoint))
	})
	return open[0]
}

// WithDone returns the lease with an order recorded, and without those that no row requires any more.
func (l Lease) WithDone(load Load, engines []Engine) Lease {
	l.Done = lo.Filter(append(slices.Clone(l.Done), load), func(d Load, _ int) bool {
		return lo.SomeBy(engines, func(e Engine) bool { return e.Name == d.Endpoint && slices.Contains(e.Models, d.Model) })
	})
	return l
}
