// Package resource measures the process's use of machine resources.
package resource

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the user and system CPU time used by the process, 0 if it cannot be read.
func ProcessorTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
