// Package reachability tracks whether a node reaches the endpoints of each service over
// connections of its own.
//
// A failed connect alone does not show which side is at fault. Several endpoints of a service
// that fail in a row, without an answer over any new connection in between, show that the path
// is: the node is then partitioned from the service. Connections that are older than the
// failures may go on working and prove nothing about new ones.
package reachability

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Rule defines when a service counts as partitioned from the node.
type Rule struct {
	MinEndpoints int           // that fail without an answer over a new connection in between
	Window       time.Duration // in which they fail
}

// DefaultRule returns the rule that nodes use. Calls of a service may be seconds apart.
func DefaultRule() Rule { return Rule{MinEndpoints: 2, Window: 5 * time.Second} }

// Failure is how an endpoint failed.
type Failure int

// The failures.
const (
	NotConnected Failure = iota // no connection could be established
	NoAnswer                    // a connection broke or fell silent before an answer
)

// Change is the beginning or the end of a service's partition from this node.
type Change struct {
	Service     string
	Partitioned bool
	Failed      []string      // ids of the endpoints that failed, sorted
	Since       time.Duration // since the first of these failures
	Answered    time.Duration // since the last answer over any connection of this node; negative: never
}

// Evidence is what a node knows of its path to a service.
type Evidence struct {
	Failed   int           // endpoints that failed since a new connection brought an answer
	Since    time.Duration // since the first of these failures
	Answered time.Duration // since the last answer over any connection of this node; negative: never
}

// Silent reports whether no connection of the node has brought an answer since the first failure.
func (e Evidence) Silent() bool { return e.Failed > 0 && (e.Answered < 0 || e.Answered > e.Since) }

// Tracker tracks the failures and answers of a node's own connections. It is safe for concurrent
// use.
type Tracker struct {
	rule    Rule
	changed func(Change)

	mu       sync.Mutex
	services map[string]*service
	listed   map[string]map[string]bool // ids of the ready endpoints by service
}

// service is the state of the paths to the endpoints of one service.
type service struct {
	failed      map[string]failure // last one by endpoint
	since       time.Time          // first of them
	answered    time.Time          // last answer over any connection; zero: never
	partitioned bool
}

// failure is the last failure of an endpoint.
type failure struct {
	at   time.Time
	kind Failure
}

// NewTracker returns a tracker that calls changed on each change, without holding its lock.
func NewTracker(r Rule, changed func(Change)) *Tracker {
	return &Tracker{rule: r, changed: changed, services: map[string]*service{}, listed: map[string]map[string]bool{}}
}

// Engines sets the listed endpoints. Failures of others are dropped.
func (t *Tracker) Engines(all []engine.Engine, now time.Time) {
	listed := map[string]map[string]bool{}
	for _, e := range all {
		if e.State != engine.Ready {
			continue
		}
		if listed[e.Service] == nil {
			listed[e.Service] = map[string]bool{}
		}
		listed[e.Service][e.ID] = true
	}
	t.mu.Lock()
	t.listed = listed
	var changes []Change
	for name, s := range t.services {
		maps.DeleteFunc(s.failed, func(id string, _ failure) bool { return !listed[name][id] })
		changes = append(changes, t.review(name, s, now)...)
	}
	t.mu.Unlock()
	t.notify(changes)
}

// Failed records that an endpoint failed over a connection of this node.
func (t *Tracker) Failed(e engine.Engine, kind Failure, now time.Time) {
	t.mu.Lock()
	s := t.service(e.Service)
	if !s.partitioned {
		maps.DeleteFunc(s.failed, func(_ string, f failure) bool { return now.Sub(f.at) > t.rule.Window })
	}
	if len(s.failed) == 0 {
		s.since = now
	}
	s.failed[e.ID] = failure{at: now, kind: kind}
	changes := t.review(e.Service, s, now)
	t.mu.Unlock()
	t.notify(changes)
}

// Answered records an answer over a connection of this node that was established at the given
// time. A connection that is older than the failures shows only that its own endpoint was slow.
func (t *Tracker) Answered(e engine.Engine, connected, now time.Time) {
	t.mu.Lock()
	s := t.service(e.Service)
	s.answered = now
	if f, ok := s.failed[e.ID]; ok && f.kind == NoAnswer {
		delete(s.failed, e.ID)
	}
	if connected.After(s.since) {
		clear(s.failed)
	}
	changes := t.review(e.Service, s, now)
	t.mu.Unlock()
	t.notify(changes)
}

// FailedElsewhere records that another node did not reach an endpoint either, so that its failure
// shows nothing about this node.
func (t *Tracker) FailedElsewhere(e engine.Engine, now time.Time) {
	t.mu.Lock()
	s := t.service(e.Service)
	delete(s.failed, e.ID)
	changes := t.review(e.Service, s, now)
	t.mu.Unlock()
	t.notify(changes)
}

// review decides whether a service is partitioned. The lock is held.
func (t *Tracker) review(name string, s *service, now time.Time) []Change {
	partitioned := len(s.failed) > 0 && len(s.failed) >= t.needed(name, s)
	if partitioned == s.partitioned {
		return nil
	}
	s.partitioned = partitioned
	c := Change{Service: name, Partitioned: partitioned, Failed: slices.Sorted(maps.Keys(s.failed)), Since: now.Sub(s.since), Answered: s.age(now)}
	return []Change{c}
}

// needed returns how many endpoints of a service have to fail. One is enough where it is the only
// one, or where no connection to it could be established while another service is partitioned
// already. The lock is held.
func (t *Tracker) needed(name string, s *service) int {
	for other, o := range t.services {
		if other != name && o.partitioned && s.notConnected() {
			return 1
		}
	}
	return min(t.rule.MinEndpoints, max(len(t.listed[name]), 1))
}

// notConnected reports whether a connection to one of the endpoints could not be established.
func (s *service) notConnected() bool {
	for _, f := range s.failed {
		if f.kind == NotConnected {
			return true
		}
	}
	return false
}

func (t *Tracker) notify(changes []Change) {
	for _, c := range changes {
		t.changed(c)
	}
}

// Partitioned reports whether this node is partitioned from a service.
func (t *Tracker) Partitioned(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[service]
	return ok && s.partitioned
}

// Services returns the services that this node is partitioned from, sorted.
func (t *Tracker) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.services {
		if s.partitioned {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// FailedEndpoints returns the ids of a service's endpoints that failed, sorted.
func (t *Tracker) FailedEndpoints(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(s.failed))
}

// Evidence returns what is known of the path to a service, for the log.
func (t *Tracker) Evidence(service string, now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	return Evidence{Failed: len(s.failed), Since: now.Sub(s.since), Answered: s.age(now)}
}

// service returns the state of a service. The lock is held.
func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{failed: map[string]failure{}}
		t.services[name] = s
	}
	return s
}

// age returns the time since the last answer.
func (s *service) age(now time.Time) time.Duration {
	if s.answered.IsZero() {
		return -1
	}
	return now.Sub(s.answered)
}
