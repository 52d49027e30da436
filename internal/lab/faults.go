package lab

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/lab/workload"
)

// drainPoll is how often a target looks whether it is drained.
const drainPoll = 50 * time.Millisecond

func upper(text string) string { return strings.ToUpper(text) }

// do makes one fault happen.
func (c *cluster) do(ctx context.Context, fault *Fault, start func(func())) error {
	switch fault.Do {
	case FaultKill:
		c.kill(fault.Daemon)
	case FaultStop:
		c.stopInOrder(ctx, fault.Daemon, start)
	case FaultPause:
		return c.pause(fault.Daemon, start)
	case FaultJoin:
		return c.join()
	case FaultDrain:
		return c.drain(ctx, fault.Target, start)
	case FaultCrash:
		if target := c.takeTarget(fault.Target); target != nil {
			target.Crash()
		}
	case FaultAdd:
		return c.addCold(fault.Service)
	case FaultWeight:
		return c.weigh(fault.Target, fault.Weight)
	case FaultCut:
		c.setCut(fault.Daemon, true)
	case FaultHeal:
		for index := range c.daemons {
			c.setCut(index, false)
		}
	case FaultPlatformDown:
		c.platform.SetState(environment.PlatformDown)
	case FaultPlatformStale:
		c.platform.SetState(environment.PlatformStale)
	case FaultPlatformUp:
		c.platform.SetState(environment.PlatformUp)
	}
	return nil
}

func (c *cluster) kill(index int) {
	running := c.takeDaemon(index)
	if running == nil {
		return
	}
	c.history.Add(history.Event{Kind: history.DaemonStopped, Daemon: c.daemons[index].name})
	running.Kill()
}

// pauseSpan is long enough for the others to give a paused daemon up.
const pauseSpan = 9 * time.Second

// pause freezes a daemon for a while; it wakes with what it believed before.
func (c *cluster) pause(index int, start func(func())) error {
	c.mutex.Lock()
	slot := c.daemons[index]
	running := slot.running
	c.mutex.Unlock()
	if running == nil {
		return nil
	}
	resume, err := running.Pause()
	if err != nil {
		return err
	}
	c.history.Add(history.Event{Kind: history.DaemonsCut, Daemon: slot.name})
	start(func() {
		time.Sleep(pauseSpan)
		resume()
		c.history.Add(history.Event{Kind: history.DaemonsJoined, Daemon: slot.name})
	})
	return nil
}

func (c *cluster) stopInOrder(ctx context.Context, index int, start func(func())) {
	running := c.takeDaemon(index)
	if running == nil {
		return
	}
	c.history.Add(history.Event{Kind: history.DaemonStopped, Daemon: c.daemons[index].name})
	start(func() {
		running.Drain(ctx)
		running.Kill()
	})
}

// join starts a daemon on a new machine.
func (c *cluster) join() error {
	index := len(c.daemons)
	if index >= maximumDaemons {
		return eris.New("no address is left for another daemon")
	}
	c.addMachine(index)
	c.tellPlatform()
	return c.startDaemon(index)
}

func split(fullName string) (service, target string) {
	service, target, _ = strings.Cut(fullName, "/")
	return service, target
}

// drain is a planned stop of a target: the operators drain it, the target learns
// of it in band, refuses new connections and ends when the open ones have.
func (c *cluster) drain(ctx context.Context, fullName string, start func(func())) error {
	service, name := split(fullName)
	err := c.operate(func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.DrainTarget(ctx, &passtrayv1.DrainTargetRequest{Options: options, Service: service, Name: name})
	})
	if err != nil {
		return err
	}
	c.history.Add(history.Event{Kind: history.TargetDrained, Target: fullName})
	for _, target := range c.runningTargets() {
		if target.FullName() == fullName {
			start(func() { c.endWhenIdle(ctx, target) })
		}
	}
	return nil
}

func (c *cluster) endWhenIdle(ctx context.Context, target *workload.Target) {
	for !target.IsDraining() {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
	if target.WaitIdle(ctx) == nil {
		c.takeTarget(target.FullName())
		target.Close()
	}
}

func (c *cluster) weigh(fullName string, weight uint32) error {
	service, name := split(fullName)
	return c.operate(func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.SetTargetWeight(ctx, &passtrayv1.SetTargetWeightRequest{Options: options, Service: service, Name: name, Weight: weight})
	})
}

// addCold adds a target that has just started.
func (c *cluster) addCold(service string) error {
	for index := range c.scenario.Services {
		if c.scenario.Services[index].Name == service {
			c.scenario.Services[index].Targets++
			return c.addTarget(index, c.scenario.Services[index].Targets, true)
		}
	}
	return eris.Errorf("there is no service %q", service)
}

func (c *cluster) setCut(index int, cut bool) {
	c.mutex.Lock()
	before := c.cut[index]
	c.cut[index] = cut
	c.mutex.Unlock()
	if before == cut {
		return
	}
	kind := history.DaemonsJoined
	if cut {
		kind = history.DaemonsCut
	}
	c.history.Add(history.Event{Kind: kind, Daemon: c.daemons[index].name})
}
