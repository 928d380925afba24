package peer

import "github.com/lynxshed/lynxshed/fleet/relay/distance"

// regionWatchers is the number of delegates of a region that watch the store. It is small
// because each event ends the watch of each of them, and each watch is a call. The region's
// other delegates ask them and pass the answers on to their zones.
const regionWatchers = 2

// watchersOf returns the delegates that watch the store: in each region the first two writers
// in order that are not lost, from two zones if possible. Lost means that they do not reach
// the store or are silent. If all of a region are lost, the first ones stay. In a fleet where
// all nodes write, and so hold what they need, all of them watch.
func watchersOf(writers map[string]bool, members []Member, order []Member, places distance.Places, lost func(Member) bool) map[string]bool {
	if len(writers) >= len(members) {
		return writers
	}
	watchers := map[string]bool{}
	byRegion := map[string][]Member{}
	add := func(fit func(m Member, chosen []Member) bool) {
		for _, m := range order {
			region := places.Region(m.Zone)
			if writers[m.Name] && !watchers[m.Name] && len(byRegion[region]) < regionWatchers && fit(m, byRegion[region]) {
				watchers[m.Name] = true
				byRegion[region] = append(byRegion[region], m)
			}
		}
	}
	add(func(m Member, chosen []Member) bool { return !lost(m) && !inZone(chosen, m.Zone) })
	add(func(m Member, _ []Member) bool { return !lost(m) })
	add(func(m Member, chosen []Member) bool { return !inZone(chosen, m.Zone) })
	add(func(Member, []Member) bool { return true })
	return watchers
}

// inZone reports whether one of the members is in a zone.
func inZone(members []Member, zone string) bool {
	for _, m := range members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
