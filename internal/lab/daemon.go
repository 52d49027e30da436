package lab

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/settings"
)

// Daemon is a running daemon as the lab handles it.
type Daemon interface {
	// Kill ends it at once.
	Kill()
	// Drain asks it to leave in order and waits until it may be ended.
	Drain(ctx context.Context)
	// Pause freezes it; the function returned wakes it.
	Pause() (resume func(), err error)
	// Stats reads its counters.
	Stats() node.Stats
}

// StartDaemon starts a daemon with settings. Options are for daemons inside
// this process only.
type StartDaemon func(name string, given settings.Settings, options node.Options) (Daemon, error)

// inProcess runs daemons as parts of this process.
func inProcess(log logr.Logger) StartDaemon {
	return func(name string, given settings.Settings, options node.Options) (Daemon, error) {
		running, err := node.Start(given, log.WithValues("daemon", name), options)
		if err != nil {
			return nil, err
		}
		return nodeDaemon{running}, nil
	}
}

type nodeDaemon struct{ *node.Node }

// Pause cannot be done to a part of a process.
func (nodeDaemon) Pause() (func(), error) {
	return nil, eris.New("only daemons that are processes can be paused; see the end-to-end tests")
}
