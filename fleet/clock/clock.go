// Package clock provides the time by which nodes decide: the monotonic clock plus the time
// for which the VM was suspended. Go compares its times by the monotonic clock, which stops
// while a VM is suspended. After a suspension of ten seconds a node would take its data for
// fresh and its permissions for valid, although ten seconds have passed for everyone else.
// By this clock a suspension counts as elapsed time, as it does for a stopped process.
//
// The package also detects stalls of the process, and has timers that allow for them.
package clock

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time by this clock. It compares with other times of this package
// by the monotonic clock and the suspensions since the process started. It is ahead of
// time.Now() by these suspensions, so its time of day is wrong once there was one.
func Now() time.Time {
	t := time.Now()
	return t.Add(processSource.suspended(t))
}

// Since returns the time elapsed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the VM was suspended since the process started.
func Suspended() time.Duration { return processSource.suspended(time.Now()) }

// Limits on reading the clock that counts suspensions, which takes a system call, unlike the
// monotonic clock. A benchmark of Now: 574 ns when both are read each time, 77 ns with
// readEvery, and 73 ns for the monotonic clock alone.
const (
	readEvery     = 20 * time.Millisecond // monotonic; the delay until a process notices a suspension
	minSuspension = 10 * time.Millisecond // a smaller difference is the time between two reads
)

// processSource counts the suspensions since this process started.
var processSource = newSource(bootTime, time.Now)

// source measures suspensions by the difference between two clocks: boot counts them,
// monotonic does not.
type source struct {
	boot        func() time.Duration
	monotonic   func() time.Time
	start       time.Time     // by the monotonic clock
	bootAtStart time.Duration // by the boot clock
	readAt      atomic.Int64  // last read of the boot clock, in monotonic nanoseconds since the start
	drift       atomic.Int64  // nanoseconds by which the boot clock has gained on the monotonic one
	extra       atomic.Int64  // nanoseconds of suspension added by tests
}

func newSource(boot func() time.Duration, monotonic func() time.Time) *source {
	return &source{boot: boot, monotonic: monotonic, start: monotonic(), bootAtStart: boot()}
}

// suspended returns how long the VM was suspended, as of a time of the monotonic clock. It
// reads the monotonic clock again after the boot clock: if the process stalls between the
// two reads, the suspension appears shorter until the next read, and no stall appears as a
// suspension.
func (s *source) suspended(at time.Time) time.Duration {
	elapsed := at.Sub(s.start)
	if read := s.readAt.Load(); elapsed-time.Duration(read) >= readEvery && s.readAt.CompareAndSwap(read, int64(elapsed)) {
		boot := s.boot()
		drift := boot - s.bootAtStart - s.monotonic().Sub(s.start)
		if drift-time.Duration(s.drift.Load()) >= minSuspension {
			s.drift.Store(int64(drift)) // only increases, so that what has expired stays expired
		}
	}
	return time.Duration(s.drift.Load() + s.extra.Load())
}

// bootTime reads the clock that counts suspensions.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // without this clock in the kernel no suspension is detected
	}
	return time.Duration(t.Nano())
}

// Suspend makes this process count the VM as suspended for another d, for tests.
func Suspend(d time.Duration) { processSource.extra.Add(int64(d)) }

// extraVariable is the environment variable with the path of a file that holds the
// milliseconds for which this process counts the VM as suspended. Process tests set the
// clocks of nodes apart with it.
const extraVariable = "LYNXSHED_SUSPENDED_MS_FILE"

// extraEvery is how often the file is read.
const extraEvery = 20 * time.Millisecond

// FollowTestSource starts to read the suspension from the file that extraVariable names. It
// does nothing if the variable is not set.
func FollowTestSource() {
	path := os.Getenv(extraVariable)
	if path == "" {
		return
	}
	go func() {
		for {
			if data, err := os.ReadFile(path); err == nil {
				if ms, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil {
					processSource.extra.Store(int64(time.Duration(ms) * time.Millisecond))
				}
			}
			time.Sleep(extraEvery)
		}
	}()
}
