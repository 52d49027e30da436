package nodetest

import (
	"time"
	"unsafe"
)

// clockReading is the layout of time.Time. With a monotonic reading, wall holds the seconds of the time
// of day above its nanoseconds.
type clockReading struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const secondShift = 30

// AfterClockStep returns a time that was read after the time of day had jumped by whole seconds, while
// the monotonic clock ran on. The time must have a monotonic reading.
func AfterClockStep(t time.Time, jump time.Duration) time.Time {
	reading := (*clockReading)(unsafe.Pointer(&t))
	reading.wall += uint64(jump/time.Second) << secondShift
	return t
}
