package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// versions are those that may have begun streams of a service. The value is when the last endpoint
// of a version went; zero while one is listed.
type versions map[string]time.Time

// listedVersions returns the versions of all endpoints by service.
func listedVersions(all []engine.Engine) map[string]versions {
	listed := map[string]versions{}
	for _, e := range all {
		if listed[e.Service] == nil {
			listed[e.Service] = versions{}
		}
		listed[e.Service][e.StreamVersion()] = time.Time{}
	}
	return listed
}

// next returns the versions once the given ones are listed, without those that went long ago.
func (v versions) next(listed versions, now time.Time) versions {
	after := maps.Clone(listed)
	if after == nil {
		after = versions{}
	}
	for version, gone := range v {
		if gone.IsZero() {
			gone = now
		}
		if _, still := after[version]; !still && now.Sub(gone) < Retention {
			after[version] = gone
		}
	}
	return after
}

// with returns the versions and others that may have served until now.
func (v versions) with(others []string, now time.Time) versions {
	after := versions{}
	for _, version := range others {
		after[version] = now
	}
	maps.Copy(after, v)
	return after
}

// seen returns the versions and those that others list now.
func (v versions) seen(listed []string, now time.Time) versions {
	after := versions{}
	maps.Copy(after, v)
	for _, version := range listed {
		if gone, known := v[version]; !known || !gone.IsZero() {
			after[version] = now
		}
	}
	return after
}

// maxUnread bounds how many incarnations whose entry is not known a node names to others, since a datagram holds
// only so much. Two versions are enough to show that several serve.
const maxUnread = 64

// listed lists the versions that are listed now, and at most maxUnread of those of unknown incarnations.
func (v versions) listed() []string {
	current := lo.Keys(lo.PickBy(v, func(_ string, gone time.Time) bool { return gone.IsZero() }))
	unread, read := lo.FilterReject(current, func(name string, _ int) bool { return engine.IsUnread(name) })
	slices.Sort(unread)
	return slices.Sorted(slices.Values(append(read, unread[:min(len(unread), maxUnread)]...)))
}

// without returns the versions but for some names.
func (v versions) without(names []string) versions { return lo.OmitByKeys(v, names) }

// names lists the versions, without those that went long ago.
func (v versions) names(now time.Time) []string {
	return slices.Sorted(maps.Keys(lo.PickBy(v, func(_ string, gone time.Time) bool { return gone.IsZero() || now.Sub(gone) < Retention })))
}

// Versions are the versions of each service's endpoints that may have begun streams within
// Retention, as the store keeps them.
type Versions struct {
	Services map[string][]string `json:"services"`          // sorted
	Partial  bool                `json:"partial,omitempty"` // versions of before it was first written may be missing
	Era      int64               `json:"era,omitempty"`     // of the store, in which none was missing; earlier builds tell none
}

// Equal reports whether two are the same.
func (v Versions) Equal(o Versions) bool {
	return v.Partial == o.Partial && v.Era == o.Era && maps.EqualFunc(v.Services, o.Services, slices.Equal)
}
