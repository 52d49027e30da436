// Package monotonic converts times to numbers and back that can be stored in atomics, without losing
// the monotonic clock reading: spans between them stay right when the time of day jumps.
package monotonic

import "time"

// origin is the process start. Numbers are counted from it, and offset by its time of day, so that they
// are Unix nanoseconds as long as the time of day does not jump.
var (
	origin     = time.Now()
	originUnix = origin.UnixNano()
)

// Nanoseconds returns a time as a number. For a time without a monotonic clock reading, it is the Unix
// time in nanoseconds.
func Nanoseconds(t time.Time) int64 { return originUnix + int64(t.Sub(origin)) }

// Time returns the time of a number, with a monotonic clock reading.
func Time(nanoseconds int64) time.Time { return origin.Add(time.Duration(nanoseconds - originUnix)) }
