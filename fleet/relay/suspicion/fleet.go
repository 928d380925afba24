package suspicion

import (
	"math"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// fleet holds the known endpoints and nodes. Only these may be suspected and may report.
type fleet struct {
	engines     map[engine.Incarnation]engine.Engine
	perService  map[string]int      // ready endpoints of a service
	perZone     map[serviceZone]int // ready endpoints of a service in a zone
	zones       map[string]string   // of the nodes
	nodesInZone map[string]int      // number of nodes
}

// serviceZone is a service in a zone.
type serviceZone struct{ service, zone string }

func newFleet() fleet {
	return fleet{engines: map[engine.Incarnation]engine.Engine{}, perService: map[string]int{}, perZone: map[serviceZone]int{}, zones: map[string]string{}, nodesInZone: map[string]int{}}
}

// withEngines returns the fleet with the endpoints replaced.
func (f fleet) withEngines(all []engine.Engine) fleet {
	f.engines, f.perService, f.perZone = make(map[engine.Incarnation]engine.Engine, len(all)), map[string]int{}, map[serviceZone]int{}
	for _, e := range all {
		f.engines[e.Incarnation()] = e
		if e.State == engine.Ready {
			f.perService[e.Service]++
			f.perZone[serviceZone{e.Service, e.Zone}]++
		}
	}
	return f
}

// withNodes returns the fleet with the nodes replaced, given with their zones.
func (f fleet) withNodes(zones map[string]string) fleet {
	f.zones, f.nodesInZone = zones, map[string]int{}
	for _, zone := range zones {
		f.nodesInZone[zone]++
	}
	return f
}

// isRelevant reports whether a node's report on an endpoint matters to the nodes of a zone. A
// failure observed across zones may be one of the link between them, which does not concern the
// nodes on the endpoint's side.
func (f fleet) isRelevant(zone, reporter string, e engine.Engine) bool {
	from := f.zones[reporter]
	return from == zone || from == e.Zone
}

// reporters returns the number of nodes whose reports on an endpoint count for the nodes of a
// zone.
func (f fleet) reporters(zone string, e engine.Engine) int {
	if e.Zone == zone {
		return f.nodesInZone[zone]
	}
	return f.nodesInZone[zone] + f.nodesInZone[e.Zone]
}

// exceedsLinkShare reports whether a node suspects so many endpoints that its own link has
// probably failed.
func (f fleet) exceedsLinkShare(suspected []engine.Engine, e engine.Engine, share float64) bool {
	ofService, inZone := 0, 0
	for _, d := range suspected {
		if d.Service != e.Service {
			continue
		}
		ofService++
		if d.Zone == e.Zone {
			inZone++
		}
	}
	limit := func(n int) int { return int(math.Ceil(share * float64(n))) }
	return ofService > limit(f.perService[e.Service]) || inZone > limit(f.perZone[serviceZone{e.Service, e.Zone}])
}
