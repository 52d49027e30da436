package lab

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/settings"
)

// Daemon is a running daemon that the lab controls.
type Daemon interface {
	// Kill ends it at once.
	Kill()
	// Drain makes it leave the fleet gracefully and returns when it may be killed.
	Drain(ctx context.Context)
	// Pause suspends it until resume is called.
	Pause() (resume func(), err error)
	Stats() node.Stats
}

// StartDaemon starts a daemon. Options apply only to daemons inside this process.
type StartDaemon func(name string, config settings.Settings, options node.Options) (Daemon, error)

// inProcess returns a StartDaemon that runs daemons inside this process.
func inProcess(log logr.Logger) StartDaemon {
	return func(name string, config settings.Settings, options node.Options) (Daemon, error) {
		running, err := node.Start(config, log.WithValues("daemon", name), options)
		if err != nil {
			return nil, err
		}
		return nodeDaemon{running}, nil
	}
}

type nodeDaemon struct{ *node.Node }

// Pause always fails, as a daemon inside this process can't be suspended.
func (nodeDaemon) Pause() (func(), error) {
	return nil, eris.New("daemons can only be paused if they run as separate processes, as in the end-to-end tests")
}
