package clock

import "time"

// maxOutside bounds durations from outside.
const maxOutside = 365 * 24 * time.Hour

// Milliseconds returns the duration of a number of milliseconds from outside: another node, an endpoint or
// a stored object. It is bounded, so that no number overflows.
func Milliseconds(n int64) time.Duration {
	most := maxOutside.Milliseconds()
	return time.Duration(min(max(n, -most), most)) * time.Millisecond
}
