// Package orders decides which models engines are told to load, and by whom.
//
// In each zone one node gives orders under a lease in the platform; the version
// of the lease's object is the fencing token of its orders. What the rows ask
// for and was not ordered yet is ordered one at a time, the model with the most
// waiting calls first, and no faster than the weight store allows.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// The times of the lease and of the moves.
const (
	LeaseTime = 15 * time.Second
	// clockSkew is how far the clocks of two VMs may differ.
	clockSkew = 5 * time.Second
	// moveEvery is the least time between two orders in a zone, so that a zone
	// never loads on several engines at once.
	moveEvery = 2 * time.Second
)

// Key is the platform's key of a zone's lease.
func Key(z ident.Zone) string { return "orders/" + string(z) }

// Load is a model that an engine has been told to load.
type Load struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	Model    string         `json:"model"`
}

// Lease is the object of a zone: who gives orders until when, and what was ordered.
type Lease struct {
	Giver ident.Incarnation `json:"giver"`
	Until time.Time         `json:"until"`
	Done  []Load            `json:"done"`
}

// Engine is an engine that orders may go to.
type Engine struct {
	Name        ident.Endpoint
	URL         string
	ChecksFence bool
	Models      []string // that its row asks for
}

// Seen is everything that one decision is made from.
type Seen struct {
	At      time.Time
	Self    ident.Incarnation
	Lease   Lease
	Version platform.Version // of the lease's object
	// GiverGone says that there is evidence that the giver is over.
	GiverGone bool
	// Before is the end of the lease that this node took over from another.
	Before time.Time
	Moved  time.Time // when this node last gave an order
	// Engines are the zone's; Waiting are the calls that wait, by model.
	Engines []Engine
	Waiting func(model string) int
}

// Effect is what to do next.
type Effect interface{ effect() }

// Nothing asks for nothing.
type Nothing struct{ Why string }

// Take asks to write the lease, if the object still has the version.
type Take struct {
	Lease   Lease
	Version platform.Version
}

// Give asks to send an order and to note it in the lease afterwards.
type Give struct {
	Engine Engine
	Load   Load
	Fence  platform.Version
}

func (Nothing) effect() {}
func (Take) effect()    {}
func (Give) effect()    {}

// Decide makes one decision.
func Decide(s Seen) Effect {
	mine := s.Lease.Giver == s.Self && s.At.Before(s.Lease.Until)
	switch {
	case mine && s.Lease.Until.Sub(s.At) > LeaseTime/2:
		return s.next()
	case s.Lease.Giver == "" || s.Lease.Giver == s.Self || s.GiverGone || s.At.After(s.Lease.Until.Add(clockSkew)):
		lease := s.Lease
		lease.Giver, lease.Until = s.Self, s.At.Add(LeaseTime)
		return Take{Lease: lease, Version: s.Version}
	default:
		return Nothing{Why: "another node gives the orders"}
	}
}

// next picks the order whose model has the most waiting calls.
func (s Seen) next() Effect {
	if s.At.Sub(s.Moved) < moveEvery {
		return Nothing{Why: "one order at a time"}
	}
	var open []Give
	for _, e := range s.Engines {
		// An engine that does not check fences might still take an order of the
		// giver before, until that one's time is over by any clock.
		if !e.ChecksFence && s.At.Before(s.Before.Add(clockSkew)) {
			continue
		}
		for _, m := range e.Models {
			if load := (Load{Endpoint: e.Name, Model: m}); !slices.Contains(s.Lease.Done, load) {
				open = append(open, Give{Engine: e, Load: load, Fence: s.Version})
			}
		}
	}
	if len(open) == 0 {
		return Nothing{Why: "all is ordered"}
	}
	slices.SortStableFunc(open, func(x, y Give) int {
		return cmp.Or(s.Waiting(y.Load.Model)-s.Waiting(x.Load.Model), cmp.Compare(x.Load.Model, y.Load.Model), cmp.Compare(x.Load.Endpoint, y.Load.Endpoint))
	})
	return open[0]
}

// WithDone is the lease with an order noted, and without those that no row asks for any more.
func (l Lease) WithDone(load Load, engines []Engine) Lease {
	l.Done = lo.Filter(append(slices.Clone(l.Done), load), func(d Load, _ int) bool {
		return lo.SomeBy(engines, func(e Engine) bool { return e.Name == d.Endpoint && slices.Contains(e.Models, d.Model) })
	})
	return l
}
