package relay

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/evacuation"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// evacuated returns the zones that are to get no new work, as far as known.
func (n *Node) evacuated() evacuation.Zones {
	if z := n.evacuations.Load(); z != nil {
		return *z
	}
	return evacuation.Zones{}
}

// applyEvacuations applies the evacuations that operators request. The follower never passes on an
// older revision than the one before.
func (n *Node) applyEvacuations(c store.Change) {
	before := n.evacuated()
	next := before
	now := clock.Now()
	switch c := c.(type) {
	case store.Snapshot:
		listed := n.listedZones(before, c.Objects)
		if before.Revision().IsOfEraBefore(c.Revision) { // operators write again what the backup lacks
			listed = lo.Union(listed, before.Names())
			time.AfterFunc(rewriteWindow, n.evacuationsRefresh.Request)
		}
		next = before.WithListed(listed, c.Revision, now)
	case store.Update:
		for _, e := range c.Events {
			zone, known := n.zoneOf(e.Object)
			switch {
			case !known:
			case e.Gone:
				next = next.WithEnded(zone, c.Revision, now)
			default:
				next = next.WithBegun(zone, c.Revision)
			}
		}
	case store.Lost:
		n.log.WithField("dependency", "store").WithField("of", "evacuations").WithError(c.Err).Warn("lost")
		return
	}
	first := n.evacuations.Swap(&next) == nil
	if changed := n.logEvacuations(before, next); first || changed {
		n.engineTable.refresh()
	}
}

// zoneOf returns the zone that an object is about; false if its name is unreadable. Only the name
// counts: the evacuation holds even if the rest of the object is unreadable.
func (n *Node) zoneOf(o store.Object) (string, bool) {
	zone := n.adapter.Evacuation(o)
	if err := o.Readable(); err != nil {
		n.faults.Report(o, "evacuation", lo.Ternary(zone == "", "the zones known before", "the zone of its name"), err)
		return zone, zone != ""
	}
	n.faults.Resolve(o)
	return zone, zone != ""
}

// listedZones returns the zones of a whole list. An object with an unreadable name may be any of
// the known ones, so none of these ends by it.
func (n *Node) listedZones(before evacuation.Zones, objects []store.Object) []string {
	var zones []string
	for _, o := range objects {
		zone, known := n.zoneOf(o)
		if !known {
			zones = append(zones, before.Names()...)
			continue
		}
		zones = append(zones, zone)
	}
	return zones
}

// logEvacuations logs which evacuations began or ended, and reports whether any changed.
func (n *Node) logEvacuations(before, next evacuation.Zones) bool {
	begun, ended := lo.Difference(next.Names(), before.Names())
	for _, zone := range begun {
		entry := n.log.WithField("zone", zone).WithField("revision", next.Revision().Number())
		if !n.knownZone(zone) {
			entry.Warn("evacuation of a zone that the settings don't name: no effect unless endpoints register there")
			continue
		}
		entry.Info("evacuation of a zone in force: its endpoints get no new work")
	}
	for _, zone := range ended {
		n.log.WithField("zone", zone).WithField("revision", next.Revision().Number()).Info("evacuation of a zone ended")
	}
	n.metrics.Evacuated(len(next.Names()))
	return len(begun)+len(ended) > 0 || slices.ContainsFunc(before.Names(), func(zone string) bool { return !next.ReturnedAt(zone).Equal(before.ReturnedAt(zone)) })
}

// knownZone reports whether the settings name a zone; if they name none, every zone is known.
func (n *Node) knownZone(zone string) bool {
	_, known := n.settings.Regions[zone]
	return known || len(n.settings.Regions) == 0
}
