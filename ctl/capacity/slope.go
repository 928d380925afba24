// Package capacity measures what the fleet's mechanisms cost as they grow, fits
// a line to each, and works out the cost at the size that the users plan for.
package capacity

import (
	"math"
	"runtime"
	"testing"
)

// Point is one measurement: a cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Slope is a line fitted to measurements.
type Slope struct {
	Name   string
	Unit   string
	Per    string // what the size counts
	Points []Point
	Base   float64
	Each   float64 // cost of one more
	Fit    float64 // R squared
}

// At is the cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.Each*size }

// fit draws the line of least squares.
func fit(name, unit, per string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	var n, x, y, xx, xy, yy float64
	for _, p := range points {
		n++
		x, y = x+p.Size, y+p.Cost
		xx, xy, yy = xx+p.Size*p.Size, xy+p.Size*p.Cost, yy+p.Cost*p.Cost
	}
	variance := n*xx - x*x
	if variance == 0 {
		s.Base = y / n
		return s
	}
	s.Each = (n*xy - x*y) / variance
	s.Base = (y - s.Each*x) / n
	if spread := n*yy - y*y; spread > 0 {
		s.Fit = math.Pow(n*xy-x*y, 2) / (variance * spread)
	}
	return s
}

// nanoseconds is the time of one call, measured by the testing package.
func nanoseconds(call func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			call()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

// heapBytes is what is still in use of what build makes.
func heapBytes[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measure takes a cost at several sizes.
func measure(name, unit, per string, sizes []int, cost func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Cost: cost(size)})
	}
	return fit(name, unit, per, points)
}
