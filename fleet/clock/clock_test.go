package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// machine is a VM that a test suspends: its steady clock stands still meanwhile.
type machine struct {
	*source
	steady time.Time
	slept  time.Duration
}

func newMachine() *machine {
	m := &machine{}
	start := time.Now()
	m.steady = start
	sinceBoot := func() time.Duration { return time.Hour + m.steady.Sub(start) + m.slept }
	m.source = newSource(sinceBoot, func() time.Time { return m.steady })
	return m
}

// A suspension is counted, once and for good, as soon as the clocks are read again; what
// lies between two reads is none, and neither is a step of the time of day.
func TestASuspensionIsCounted(t *testing.T) {
	m := newMachine()
	read := func(pass time.Duration) time.Duration {
		m.steady = m.steady.Add(pass)
		return m.suspended(m.steady)
	}
	assert.Zero(t, read(time.Second))
	m.slept += time.Millisecond
	assert.Zero(t, read(time.Second), "what lies between two reads")
	m.slept = 500 * time.Millisecond
	assert.Equal(t, 500*time.Millisecond, read(readEvery))
	m.slept += 5 * time.Second
	assert.Equal(t, 500*time.Millisecond, read(readEvery/2), "it is not read so often")
	assert.Equal(t, 5500*time.Millisecond, read(readEvery/2))
	m.slept += time.Minute
	assert.Equal(t, 65500*time.Millisecond, read(readEvery))
	m.slept -= time.Second
	assert.Equal(t, 65500*time.Millisecond, read(readEvery), "it never goes back")
}

// Times of this clock age by what the VM was suspended for, and compare as Go's own do.
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

// A process that is held up between its reads of the two clocks, as on a VM with a part of
// a core, was not suspended.
func TestAProcessThatIsHeldUpIsNotSuspended(t *testing.T) {
	m := newMachine()
	held := time.Duration(0)
	boot := m.boot
	m.boot = func() time.Duration {
		m.steady = m.steady.Add(held) // before this clock is read
		defer func() { m.steady = m.steady.Add(held) }()
		return boot()
	}
	for _, held = range []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond} {
		m.steady = m.steady.Add(readEvery)
		assert.Zero(t, m.suspended(m.steady), held)
	}
	m.slept = 5 * time.Second
	held = 0
	m.steady = m.steady.Add(readEvery)
	assert.Equal(t, m.slept, m.suspended(m.steady))
}

func BenchmarkNow(b *testing.B) {
	b.Run("steady", func(b *testing.B) {
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
