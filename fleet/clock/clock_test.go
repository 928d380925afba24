package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fakeVM is a VM that a test suspends: its monotonic clock does not advance meanwhile.
type fakeVM struct {
	*source
	monotonic time.Time
	slept     time.Duration
}

func newFakeVM() *fakeVM {
	vm := &fakeVM{}
	start := time.Now()
	vm.monotonic = start
	sinceBoot := func() time.Duration { return time.Hour + vm.monotonic.Sub(start) + vm.slept }
	vm.source = newSource(sinceBoot, func() time.Time { return vm.monotonic })
	return vm
}

// A suspension counts once and permanently, from the next read of the clocks on. The time
// between the reads of the two clocks and a step of the time of day count as none.
func TestASuspensionIsCounted(t *testing.T) {
	vm := newFakeVM()
	read := func(elapsed time.Duration) time.Duration {
		vm.monotonic = vm.monotonic.Add(elapsed)
		return vm.suspended(vm.monotonic)
	}
	assert.Zero(t, read(time.Second))
	vm.slept += time.Millisecond
	assert.Zero(t, read(time.Second), "shorter than the time between two reads")
	vm.slept = 500 * time.Millisecond
	assert.Equal(t, 500*time.Millisecond, read(readEvery))
	vm.slept += 5 * time.Second
	assert.Equal(t, 500*time.Millisecond, read(readEvery/2), "the clock is not read again before readEvery")
	assert.Equal(t, 5500*time.Millisecond, read(readEvery/2))
	vm.slept += time.Minute
	assert.Equal(t, 65500*time.Millisecond, read(readEvery))
	vm.slept -= time.Second
	assert.Equal(t, 65500*time.Millisecond, read(readEvery), "the suspension never decreases")
}

// Times of this clock age by the suspension of the VM, and compare like Go's times.
func TestTimesAgeWhileTheVMIsSuspended(t *testing.T) {
	before := Now()
	deadline := before.Add(3 * time.Second)
	assert.Less(t, Since(before), time.Second)
	Suspend(10 * time.Second)
	assert.GreaterOrEqual(t, Since(before), 10*time.Second)
	assert.Less(t, Since(before), 11*time.Second)
	assert.True(t, Now().After(deadline))
	assert.Negative(t, Until(deadline))
}

// A process that stalls between the reads of the two clocks, as on a VM with a fraction of a
// core, must not count as suspended.
func TestAStallBetweenReadsIsNoSuspension(t *testing.T) {
	vm := newFakeVM()
	stall := time.Duration(0)
	boot := vm.boot
	vm.boot = func() time.Duration {
		vm.monotonic = vm.monotonic.Add(stall) // before the boot clock is read
		defer func() { vm.monotonic = vm.monotonic.Add(stall) }()
		return boot()
	}
	for _, stall = range []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond} {
		vm.monotonic = vm.monotonic.Add(readEvery)
		assert.Zero(t, vm.suspended(vm.monotonic), stall)
	}
	vm.slept = 5 * time.Second
	stall = 0
	vm.monotonic = vm.monotonic.Add(readEvery)
	assert.Equal(t, vm.slept, vm.suspended(vm.monotonic))
}

func BenchmarkNow(b *testing.B) {
	b.Run("monotonic", func(b *testing.B) {
		for range b.N {
			_ = time.Now()
		}
	})
	b.Run("with suspensions", func(b *testing.B) {
		for range b.N {
			_ = Now()
		}
	})
}
