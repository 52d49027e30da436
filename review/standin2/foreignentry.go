//go:build review

package main

import (
	"errors"
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

const (
	// flowsPerClient long flows are kept by each client, with a pause between two requests.
	flowsPerClient = 10
	requestPause   = 300 * time.Millisecond
	// scaleOutTime is how long after the first targets another one starts.
	scaleOutTime = 10 * time.Second
	// renewalTime is how long after the write of the other writer the target writes its own entry again.
	renewalTime = 600 * time.Millisecond
	// foreignService is a service that the configuration does not name.
	foreignService = "rooster"
)

// foreignEntry keeps long flows open. With trouble, another writer writes an entry under the key of a
// target, with a service that is not named and the address of another target. The target writes its own
// entry again with its next heartbeat.
func foreignEntry(s *site, hasTrouble bool) (breaches int, err error) {
	done := make(chan struct{})
	for _, c := range s.clients {
		for range flowsPerClient {
			go c.keep(routeRoster, requestPause, done)
		}
	}
	time.Sleep(time.Until(s.record.startedAt.Add(scaleOutTime)))
	other, err := s.startTarget(serviceLedger)
	if err != nil {
		return 0, err
	}
	time.Sleep(contactTime)
	chosen := s.busiest()
	flows := chosen.openFlows()
	if len(flows) == 0 {
		return 0, errors.New("no flow is open")
	}
	s.record.note("target %x at %s has %d open flows", chosen.identifier, chosen.address, len(flows))
	if hasTrouble {
		s.store.Put(storeview.Entry{Key: platform.TargetKey(chosen.identifier), Target: &storeview.Target{
			Identifier: chosen.identifier, Service: foreignService, Address: other.address, Zone: chosen.zone, Slots: 2, Sequence: 1,
		}})
		s.record.note("disruption: another writer writes the entry of target %x with service %q, which is not named, and address %s", chosen.identifier, foreignService, other.address)
		time.Sleep(renewalTime)
		s.store.Put(storeview.Entry{Key: platform.TargetKey(chosen.identifier), Target: chosen.entry()})
		s.record.note("store: target %x writes its own entry again", chosen.identifier)
	}
	time.Sleep(10 * time.Second)
	close(done)
	time.Sleep(requestDeadline)
	return s.resetFlows(chosen, flows), nil
}

// busiest returns the target with the most open flows.
func (s *site) busiest() *target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var busiest *target
	for _, t := range s.all {
		if busiest == nil || len(t.openFlows()) > len(busiest.openFlows()) {
			busiest = t
		}
	}
	return busiest
}

// reset is a reset that a client got, and the daemon that sent it.
type reset struct {
	name   flowName
	at     time.Time
	daemon *daemon
}

func (s *site) noteReset(got reset) {
	s.record.note("client: %s gets a reset from %s", got.name.caller, got.daemon.name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resets = append(s.resets, got)
}

// resetFlows counts the flows that are open at a target and whose clients got a reset that it did not send,
// from a machine in touch.
func (s *site) resetFlows(own *target, flows []flowName) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isOpen := map[flowName]bool{}
	for _, name := range flows {
		isOpen[name] = true
	}
	breaches := 0
	for _, got := range s.resets {
		if !isOpen[got.name] || !got.daemon.isInTouch(got.at) {
			continue
		}
		isOpen[got.name] = false
		breaches++
		s.record.note("FLOW: the flow %s, open at target %x, was reset by %s, in touch", got.name.caller, own.identifier, got.daemon.name)
	}
	return breaches
}
