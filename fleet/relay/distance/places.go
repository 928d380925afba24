package distance

import "time"

// Places maps availability zones to regions, seen from a node's own zone. It is immutable except
// for the round trips, which are added as they are measured.
type Places struct {
	zone       string
	regions    map[string]string // by zone
	costs      Costs
	roundTrips *RoundTrips
}

// From returns the places seen from a zone. Zones without a named region count as one region.
func From(zone string, regions map[string]string, c Costs) Places {
	return Places{zone: zone, regions: regions, costs: c, roundTrips: newRoundTrips()}
}

// Zone returns the node's own zone.
func (p Places) Zone() string { return p.zone }

// Region returns the region of a zone, or "" if it is unknown.
func (p Places) Region(zone string) string { return p.regions[zone] }

// Has reports whether the region has a known zone.
func (p Places) Has(region string) bool {
	for _, known := range p.regions {
		if known == region {
			return region != ""
		}
	}
	return false
}

// Class returns the distance class of a zone.
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

// Near reports whether a zone is in the node's own region.
func (p Places) Near(zone string) bool { return p.Class(zone) != OtherRegion }

// To returns the distance of a zone, with the round trip measured so far.
func (p Places) To(zone string, now time.Time) Distance {
	d := Distance{Class: p.Class(zone), costs: p.costs}
	d.RoundTrip = defaultRoundTrips[d.Class]
	if t, ok := p.roundTrips.to(zone); ok {
		d.RoundTrip, d.Age, d.Measured = t.median, now.Sub(t.at), true
	}
	return d
}

// Between returns the distance between two zones. If neither is the node's own, the round trip
// last measured for the same class is used.
func (p Places) Between(from, to string, now time.Time) Distance {
	if from == p.zone {
		return p.To(to, now)
	}
	if to == p.zone {
		return p.To(from, now)
	}
	return p.OfClass(p.class(from, to), now)
}

// OfClass returns the distance of zones of a class, with the round trip last measured for it.
func (p Places) OfClass(c Class, now time.Time) Distance {
	d := Distance{Class: c, costs: p.costs, RoundTrip: defaultRoundTrips[c]}
	if t, ok := p.roundTrips.of(c, p.Class); ok {
		d.RoundTrip, d.Age, d.Measured = t.median, now.Sub(t.at), true
	}
	return d
}

// RecordRoundTrip records the round trip time to a zone.
func (p Places) RecordRoundTrip(zone string, took time.Duration, now time.Time) {
	p.roundTrips.add(zone, took, now)
}

// defaultRoundTrips are used for classes without a measurement.
var defaultRoundTrips = [numClasses]time.Duration{
	SameZone:    300 * time.Microsecond,
	SameRegion:  time.Millisecond,
	OtherRegion: 20 * time.Millisecond, // regions on one continent
}
