// Package distance says how far an availability zone lies from a node's own, and what
// leaving costs there: the one place that the choice of endpoints, transfers of tokens,
// gossip and the order of sources take it from.
package distance

import "time"

// Class is how far one availability zone lies from another.
type Class int

// The classes, the nearest first.
const (
	SameZone Class = iota
	SameRegion
	OtherRegion
	classes
)

// String names a class for logs.
func (c Class) String() string {
	return [classes]string{"zone", "region", "other-region"}[c]
}

// Distance is how far a zone lies and what going there costs.
type Distance struct {
	Class     Class
	RoundTrip time.Duration // the median of what was measured, else what is assumed of the class
	Age       time.Duration // of the newest measurement
	Measured  bool

	costs Costs
}

// Costs say what leaving a zone costs, by class. Tokens are those of prompts: a call is
// worth as many as it reads, and ten for each that it generates.
type Costs struct {
	Share [classes]float64 // of a call's value: a stream that leaves ends with the zone it went to, too
	Plain [classes]float64 // of a call without a prompt, in filled endpoints
	Bytes [classes]float64 // of a megabyte, in tokens
	Time  bool             // round trips count as time until the first event
}

// None are costs of a node to which all places are alike.
func None() Costs { return Costs{} }

// DefaultCosts hold where the settings say nothing: what is expected in time and bytes,
// and a share for what may end with another zone; docs/policy.md. A megabyte is taken to
// be dear: 5 kB that leave the region cost as much as a prompt of 200 tokens, which is
// much of a short call and little of a long one.
func DefaultCosts() Costs {
	return Costs{
		Share: [classes]float64{SameRegion: 0.03, OtherRegion: 0.03},
		Plain: [classes]float64{SameRegion: 0.35, OtherRegion: 0.35},
		Bytes: [classes]float64{OtherRegion: 40_000},
		Time:  true,
	}
}

// WithBytes returns the costs with what a megabyte costs between zones of a region and
// between regions; 0 is as before.
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

// Call is what a call with a prompt costs at this distance beside the time that it
// takes: of its value, and for bytes that go there and back.
func (d Distance) Call(value float64, bytes int64) float64 {
	return d.costs.Share[d.Class]*value + d.costs.Bytes[d.Class]*float64(bytes)/megabyte
}

// Plain is what a call without a prompt costs there, in filled endpoints.
func (d Distance) Plain() float64 { return d.costs.Plain[d.Class] }

// DelayMs is how much later its first event comes.
func (d Distance) DelayMs() float64 {
	if !d.costs.Time {
		return 0
	}
	return float64(d.RoundTrip) / float64(time.Millisecond)
}
