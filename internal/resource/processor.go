// Package resource reads what this process has used of its machine.
package resource

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the processor time that this whole process has used, 0
// if the system does not say.
func ProcessorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
