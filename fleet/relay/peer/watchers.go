package peer

import "github.com/lynxshed/lynxshed/fleet/relay/distance"

// regionWatchers is how many delegates of a region watch the store for it: each event
// ends the watch of each of them, and each watch is a call. The region's other delegates
// ask them, and pass on what they say to their zones.
const regionWatchers = 2

// watchersOf names the delegates that watch the store, among the writers in the order in
// which they are chosen: in each region the first two that are not out, since they do not
// reach the store or are not heard, of two zones where the region has such. Where all of
// a region are out the first ones go on. In a fleet where all write, and so hold what they need, all watch.
func watchersOf(writers map[string]bool, members []Member, order []Member, places distance.Places, out func(Member) bool) map[string]bool {
	if len(writers) >= len(members) {
		return writers
	}
	watchers := map[string]bool{}
	of := map[string][]Member{}
	take := func(fit func(m Member, chosen []Member) bool) {
		for _, m := range order {
			region := places.Region(m.Zone)
			if writers[m.Name] && !watchers[m.Name] && len(of[region]) < regionWatchers && fit(m, of[region]) {
				watchers[m.Name] = true
				of[region] = append(of[region], m)
			}
		}
	}
	take(func(m Member, chosen []Member) bool { return !out(m) && !ofZone(chosen, m.Zone) })
	take(func(m Member, _ []Member) bool { return !out(m) })
	take(func(m Member, chosen []Member) bool { return !ofZone(chosen, m.Zone) })
	take(func(Member, []Member) bool { return true })
	return watchers
}

// ofZone is whether one of some members lies in a zone.
func ofZone(members []Member, zone string) bool {
	for _, m := range members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
