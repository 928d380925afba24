// Package evacuation tracks the availability zones that operators evacuate: their endpoints get
// no new work until the zone is given back. After that its endpoints may be cold for a while,
// whatever they last reported of themselves.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Zones is an immutable set of evacuations at a revision of the store.
type Zones struct {
	revision store.Revision
	active   map[string]bool      // by zone
	returned map[string]time.Time // by zone: when this node last learned that it was given back, on the monotonic clock
}

// Revision returns the store's revision of the last change.
func (z Zones) Revision() store.Revision { return z.revision }

// Active reports whether a zone is to get no new work.
func (z Zones) Active(zone string) bool { return z.active[zone] }

// Names returns the zones that are to get no new work, sorted.
func (z Zones) Names() []string { return slices.Sorted(maps.Keys(z.active)) }

// ReturnedAt returns when a zone was last given back, and the zero time if it never was.
func (z Zones) ReturnedAt(zone string) time.Time { return z.returned[zone] }

// WithListed returns the set after a complete list was read. Active zones that the list lacks
// were given back.
func (z Zones) WithListed(zones []string, revision store.Revision, now time.Time) Zones {
	next := z.atRevision(revision)
	for zone := range z.active {
		if !slices.Contains(zones, zone) {
			next = next.WithEnded(zone, revision, now)
		}
	}
	for _, zone := range zones {
		next = next.WithBegun(zone, revision)
	}
	return next
}

// WithBegun returns the set with a zone added that is to get no new work.
func (z Zones) WithBegun(zone string, revision store.Revision) Zones {
	next := z.atRevision(revision)
	next.active = lo.Assign(z.active, map[string]bool{zone: true})
	return next
}

// WithEnded returns the set with a zone given back.
func (z Zones) WithEnded(zone string, revision store.Revision, now time.Time) Zones {
	next := z.atRevision(revision)
	if !z.active[zone] {
		return next
	}
	next.active = lo.OmitByKeys(z.active, []string{zone})
	next.returned = lo.Assign(z.returned, map[string]time.Time{zone: now})
	return next
}

func (z Zones) atRevision(revision store.Revision) Zones {
	z.revision = max(z.revision, revision)
	return z
}
