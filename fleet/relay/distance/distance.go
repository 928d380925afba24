// Package distance computes how far an availability zone is from a node's own, and the cost of
// leaving the zone. The choice of endpoints, transfers of tokens, gossip and the order of
// sources all use it.
package distance

import "time"

// Class is the distance class of two availability zones.
type Class int

// The classes, nearest first.
const (
	SameZone Class = iota
	SameRegion
	OtherRegion
	numClasses
)

// String returns the class as used in logs.
func (c Class) String() string {
	return [numClasses]string{"zone", "region", "other-region"}[c]
}

// Distance is how far a zone is, and the cost of sending calls there.
type Distance struct {
	Class     Class
	RoundTrip time.Duration // median of the measurements, otherwise the default of the class
	Age       time.Duration // of the newest measurement
	Measured  bool

	costs Costs
}

// Costs are the costs of leaving a zone, by class, in prompt tokens. The value of a call is the
// prompt tokens it reads plus ten for each generated token.
type Costs struct {
	Share [numClasses]float64 // fraction of a call's value: a stream that leaves is also lost if the other zone fails
	Plain [numClasses]float64 // of a call without a prompt, in utilization of endpoints
	Bytes [numClasses]float64 // of a megabyte, in tokens
	Time  bool                // add round trips to the time to the first event
}

// None returns the costs of a node that treats all zones alike.
func None() Costs { return Costs{} }

// DefaultCosts returns the costs used without settings: the expected time and bytes, and a share
// for the risk that another zone fails; see docs/policy.md. Megabytes are deliberately
// expensive: 5 kB that leave the region cost as much as a prompt of 200 tokens, which is much
// for a short call and little for a long one.
func DefaultCosts() Costs {
	return Costs{
		Share: [numClasses]float64{SameRegion: 0.03, OtherRegion: 0.03},
		Plain: [numClasses]float64{SameRegion: 0.35, OtherRegion: 0.35},
		Bytes: [numClasses]float64{OtherRegion: 40_000},
		Time:  true,
	}
}

// WithBytes returns the costs with the given price of a megabyte between zones of a region and
// between regions; 0 leaves a price unchanged.
func (c Costs) WithBytes(zone, region float64) Costs {
	if zone > 0 {
		c.Bytes[SameRegion] = zone
	}
	if region > 0 {
		c.Bytes[OtherRegion] = region
	}
	return c
}

// megabyte is the unit in which bytes are priced.
const megabyte = 1e6

// Call returns the cost of a call with a prompt at this distance, apart from its delay: a
// fraction of its value, and the price of the bytes sent there and back.
func (d Distance) Call(value float64, bytes int64) float64 {
	return d.costs.Share[d.Class]*value + d.costs.Bytes[d.Class]*float64(bytes)/megabyte
}

// Plain returns the cost of a call without a prompt, in utilization of endpoints.
func (d Distance) Plain() float64 { return d.costs.Plain[d.Class] }

// DelayMs returns the delay that the distance adds to the first event.
func (d Distance) DelayMs() float64 {
	if !d.costs.Time {
		return 0
	}
	return float64(d.RoundTrip) / float64(time.Millisecond)
}
