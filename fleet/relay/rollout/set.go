package rollout

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Set is an immutable set of rollouts, keyed by the name of their object, as of a revision of the
// store.
type Set struct {
	revision store.Revision
	byName   map[string]Rollout
	used     map[string][]string // by service: versions to which this node has sent calls
}

// Revision returns the store's revision up to which the set is complete.
func (s Set) Revision() store.Revision { return s.revision }

// Of returns the rollout of a service. If several objects name the service, the newest order
// applies.
func (s Set) Of(service string) (Rollout, bool) {
	var found Rollout
	ok := false
	for _, r := range s.byName {
		if r.Service == service && r.Problem() == "" && (!ok || r.Made > found.Made) {
			found, ok = r, true
		}
	}
	return found, ok
}

// All returns the rollouts, sorted by the name of their object.
func (s Set) All() []Rollout {
	return lo.Map(slices.Sorted(maps.Keys(s.byName)), func(name string, _ int) Rollout { return s.byName[name] })
}

// Name returns a rollout by the name of its object.
func (s Set) Name(name string) (Rollout, bool) {
	r, ok := s.byName[name]
	return r, ok
}

// With returns the set with the rollout of an object, unless the set holds a newer revision of that
// object.
func (s Set) With(name string, r Rollout) Set {
	if before, ok := s.byName[name]; ok && before.Revision > r.Revision {
		return s
	}
	s.byName = lo.Assign(s.byName, map[string]Rollout{name: r})
	return s.At(r.Revision)
}

// Without returns the set without a deleted object.
func (s Set) Without(name string) Set {
	s.byName = lo.OmitByKeys(s.byName, []string{name})
	return s
}

// At returns the set as of a later revision of the store.
func (s Set) At(revision store.Revision) Set {
	s.revision = max(s.revision, revision)
	return s
}

// Using returns the set of a node that has sent calls of a service to a version: later endpoints of
// that version need not wait until the orders are known.
func (s Set) Using(service, version string) Set {
	if lo.Contains(s.used[service], version) {
		return s
	}
	versions := append(slices.Clone(s.used[service]), version)
	s.used = lo.Assign(s.used, map[string][]string{service: versions})
	return s
}

// Used reports whether the node has sent calls of a service to a version.
func (s Set) Used(service, version string) bool { return lo.Contains(s.used[service], version) }
