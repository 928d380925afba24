package memory

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Shares of the memory of a process.
const (
	callsShare     = 0.35 // for callers
	platformShare  = 0.2  // for answers of the platform, while they are read
	peersShare     = 0.15 // for those of other nodes
	collectorShare = 0.8  // limit of the garbage collector, of what the program itself leaves
	garbagePercent = 50   // half of the default, for processes with a bound

	// minCollectorShare bounds the limit from below, above what callers may hold: a heap that is
	// always over its limit is collected all the time.
	minCollectorShare = 0.4
)

// ForCalls returns the budget for the callers of a process with some MB of memory; 0 means unbounded.
func ForCalls(mb float64) *Budget { return NewBudget(int64(callsShare * mb * (1 << 20))) }

// ForPlatform returns the budget for answers of the platform, as ForCalls does.
func ForPlatform(mb float64) *Budget { return NewBudget(int64(platformShare * mb * (1 << 20))) }

// ForPeers returns the budget for answers of other nodes, as ForCalls does.
func ForPeers(mb float64) *Budget { return NewBudget(int64(peersShare * mb * (1 << 20))) }

// OfProcess returns the MB of memory that this process may use: what GOMEMLIMIT leaves room for if it is
// set, or what the VM has; 0 if neither is known.
func OfProcess() float64 {
	const mb = 1 << 20
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return float64(limit) / collectorShare / mb
	}
	var vm syscall.Sysinfo_t
	if err := syscall.Sysinfo(&vm); err != nil {
		return 0
	}
	return float64(vm.Totalram) * float64(vm.Unit) / mb
}

// LimitProcess makes the garbage collector keep the process within some MB; 0 means unbounded. With an
// error the limit leaves no room for the pages of the program.
func LimitProcess(mb float64) error {
	if mb <= 0 {
		return nil
	}
	image, err := imageBytes()
	debug.SetMemoryLimit(collectorLimit(mb, image))
	debug.SetGCPercent(garbagePercent)
	return err
}

// collectorLimit returns the collector's limit in bytes for a process of some MB that maps an image.
func collectorLimit(mb float64, image int64) int64 {
	bytes := mb * (1 << 20)
	return int64(max(collectorShare*(bytes-float64(image)), minCollectorShare*bytes))
}
