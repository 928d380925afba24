// Package clock is the time by which nodes decide: the steady clock, and the time for which
// the VM was suspended on top of it. Go's own times compare by the steady clock, which
// stands still while a VM is suspended: after ten seconds all that a node believes would be
// as fresh as it was, and all that it may do would still be its to do, while for everyone
// else ten seconds have passed. By this clock a suspension is what a stopped process is:
// time that went by.
package clock

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the present moment: a time that compares with others of this package by the
// steady clock and the suspensions since the process began. Its time of day means nothing
// where there were any. Compared with time.Now() it is ahead by these.
func Now() time.Time {
	t := time.Now()
	return t.Add(process.suspended(t))
}

// Since is the time that has passed since a moment of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until a moment of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended is for how long the VM was suspended since the process began.
func Suspended() time.Duration { return process.suspended(time.Now()) }

// Bounds of reading the clock that counts suspensions: a call to the kernel each time, where
// the steady clock is none. A benchmark of Now: 574 ns where both were read each time, 77 ns
// as it is, and 73 ns for the steady clock alone.
const (
	readEvery       = 20 * time.Millisecond // by the steady clock: so late a process notices that it was suspended
	leastSuspension = 10 * time.Millisecond // less is what lies between two reads
)

// process is the source of this process.
var process = newSource(bootTime, time.Now)

// source tells suspensions by two clocks, of which one counts them.
type source struct {
	boot    func() time.Duration
	steady  func() time.Time
	began   time.Time     // by the steady clock
	atBegan time.Duration // by the other one
	readAt  atomic.Int64  // nanoseconds of the steady clock since it began
	apart   atomic.Int64  // nanoseconds by which the clocks lie apart since
	ahead   atomic.Int64  // what a source outside this process adds, for tests
}

func newSource(boot func() time.Duration, steady func() time.Time) *source {
	return &source{boot: boot, steady: steady, began: steady(), atBegan: boot()}
}

// suspended is how long the machine was, as of a moment of the steady clock. That is read
// once more after the other clock: a process may be held up between the two, which then
// looks like less of a suspension until they are read again, and never like one.
func (s *source) suspended(steady time.Time) time.Duration {
	passed := steady.Sub(s.began)
	if read := s.readAt.Load(); passed-time.Duration(read) >= readEvery && s.readAt.CompareAndSwap(read, int64(passed)) {
		boot := s.boot()
		apart := boot - s.atBegan - s.steady().Sub(s.began)
		if apart-time.Duration(s.apart.Load()) >= leastSuspension {
			s.apart.Store(int64(apart)) // it only rises: what a process believed to have aged stays so
		}
	}
	return time.Duration(s.apart.Load() + s.ahead.Load())
}

// bootTime is the clock that counts suspensions.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // a kernel without the clock tells of no suspension
	}
	return time.Duration(t.Nano())
}

// Suspend has this process count the VM as suspended for so long more, for tests.
func Suspend(d time.Duration) { process.ahead.Add(int64(d)) }

// aheadVariable names a file that holds milliseconds by which this process counts the VM
// as suspended: tests of whole processes set clocks apart by it.
const aheadVariable = "LYNXSHED_SUSPENDED_MS_FILE"

// aheadEvery is how often the file is read.
const aheadEvery = 20 * time.Millisecond

// FollowTestSource reads the tests' file, where there is one, from now on.
func FollowTestSource() {
	path := os.Getenv(aheadVariable)
	if path == "" {
		return
	}
	go func() {
		for {
			if data, err := os.ReadFile(path); err == nil {
				if ms, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil {
					process.ahead.Store(int64(time.Duration(ms) * time.Millisecond))
				}
			}
			time.Sleep(aheadEvery)
		}
	}()
}
