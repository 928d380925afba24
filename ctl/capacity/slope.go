// Package capacity measures how the costs of the fleet's mechanisms grow with size, fits a line to each,
// and estimates the costs at the size that the users plan for.
package capacity

import (
	"math"
	"runtime"
	"testing"
)

// Point is one measurement of a cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Slope is a line fitted to measurements by least squares.
type Slope struct {
	Name     string
	Unit     string
	Per      string // unit of the size
	Points   []Point
	Base     float64 // cost at size zero
	PerUnit  float64 // added cost per unit of size
	RSquared float64 // coefficient of determination, R²
}

// At returns the estimated cost at a size.
func (s Slope) At(size float64) float64 { return s.Base + s.PerUnit*size }

// fitLine fits a line by least squares.
func fitLine(name, unit, per string, points []Point) Slope {
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
	s.PerUnit = (n*xy - x*y) / variance
	s.Base = (y - s.PerUnit*x) / n
	if spread := n*yy - y*y; spread > 0 {
		s.RSquared = math.Pow(n*xy-x*y, 2) / (variance * spread)
	}
	return s
}

// nanoseconds returns the mean duration of call, as measured by testing.Benchmark.
func nanoseconds(call func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			call()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

// heapBytes returns the heap memory retained by the result of build.
func heapBytes[T any](build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measure measures a cost at several sizes and fits a line.
func measure(name, unit, per string, sizes []int, cost func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Cost: cost(size)})
	}
	return fitLine(name, unit, per, points)
}
