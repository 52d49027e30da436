// Package signals registers a daemon's signal handlers during package initialization, so that a SIGHUP received while
// the daemon starts does not end the process. It imports few packages in order to be initialized early.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the channels of a daemon's signals. Each kind has a separate channel, so that none can displace another;
// pending signals of the same kind are coalesced.
type Signals struct {
	// Hangup receives SIGHUP: reload the settings.
	Hangup <-chan os.Signal
	// Stop receives SIGTERM: shut down gracefully. Repeated signals must not shorten the drain, since a supervisor
	// may send several.
	Stop <-chan os.Signal
	// Interrupt receives SIGINT: the first shuts down gracefully, the second immediately.
	Interrupt <-chan os.Signal
}

var channels = register()

func register() Signals {
	return Signals{Hangup: notify(syscall.SIGHUP), Stop: notify(syscall.SIGTERM), Interrupt: notify(syscall.SIGINT)}
}

// notify returns a channel that buffers one signal.
func notify(kind os.Signal) <-chan os.Signal {
	channel := make(chan os.Signal, 1)
	signal.Notify(channel, kind)
	return channel
}

// Received returns the channels of the process's signals. All callers share them.
func Received() Signals { return channels }
