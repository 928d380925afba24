package distance

import "time"

// Places is which availability zone lies where, seen from a node's own. It does not
// change; round trips come in as they are measured.
type Places struct {
	zone    string
	regions map[string]string // by zone
	costs   Costs
	trips   *Trips
}

// From returns the places seen from a zone. Zones whose region is not named count as
// one region.
func From(zone string, regions map[string]string, c Costs) Places {
	return Places{zone: zone, regions: regions, costs: c, trips: newTrips()}
}

// Zone is the node's own.
func (p Places) Zone() string { return p.zone }

// Region names the region of a zone; "" is not known.
func (p Places) Region(zone string) string { return p.regions[zone] }

// Has is whether a zone of a region is known.
func (p Places) Has(region string) bool {
	for _, known := range p.regions {
		if known == region {
			return region != ""
		}
	}
	return false
}

// Class is how far a zone lies.
func (p Places) Class(zone string) Class { return p.class(p.zone, zone) }

func (p Places) class(one, other string) Class {
	switch {
	case one == other:
		return SameZone
	case p.regions[one] == p.regions[other]:
		return SameRegion
	}
	return OtherRegion
}

// Near is whether a zone is of the node's own region.
func (p Places) Near(zone string) bool { return p.Class(zone) != OtherRegion }

// To is how far a zone lies, as measured until now.
func (p Places) To(zone string, now time.Time) Distance {
	d := Distance{Class: p.Class(zone), costs: p.costs}
	d.RoundTrip = assumed[d.Class]
	if t, ok := p.trips.to(zone); ok {
		d.RoundTrip, d.Age, d.Measured = t.median, now.Sub(t.at), true
	}
	return d
}

// Between is how far two zones lie from each other. A way that does not begin here is
// taken to be as long as the last that was measured of its class.
func (p Places) Between(from, to string, now time.Time) Distance {
	if from == p.zone {
		return p.To(to, now)
	}
	if to == p.zone {
		return p.To(from, now)
	}
	return p.OfClass(p.class(from, to), now)
}

// OfClass is how far zones of a class lie, by the last that was measured.
func (p Places) OfClass(c Class, now time.Time) Distance {
	d := Distance{Class: c, costs: p.costs, RoundTrip: assumed[c]}
	if t, ok := p.trips.of(c, p.Class); ok {
		d.RoundTrip, d.Age, d.Measured = t.median, now.Sub(t.at), true
	}
	return d
}

// Measured notes how long a round trip to a zone took.
func (p Places) Measured(zone string, took time.Duration, now time.Time) {
	p.trips.add(zone, took, now)
}

// assumed are round trips of classes of which none was measured yet.
var assumed = [classes]time.Duration{
	SameZone:    300 * time.Microsecond,
	SameRegion:  time.Millisecond,
	OtherRegion: 20 * time.Millisecond, // regions of one continent
}
