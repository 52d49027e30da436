//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainBound = 3 * time.Second // DrainMs
	// serveAfterDrain is how much longer than DrainMs a draining target serves on.
	serveAfterDrain = 500 * time.Millisecond
	// coldFor is how long a target is slow after its start, coldAtLeave how long the new targets run
	// before they leave.
	coldFor     = 2 * time.Second
	coldAtLeave = 300 * time.Millisecond
	// callerPause is the pause between two new flows.
	callerPause = 10 * time.Millisecond
)

// coldLeaving plays case 3, with planned work alone. The targets of a service are replaced, and the new
// ones leave as well while they are cold. DRAIN is broken if a daemon sends a new flow to one of them
// later than DrainMs after the store took that they leave. Without trouble, the targets that leave are
// warm.
func coldLeaving(s *site, hasTrouble bool) (int, error) {
	s.putConfiguration()
	if _, err := s.addTarget(roster, targetZones[0], s.address(kindTarget, 1, targetPort), 0); err != nil {
		return 0, err
	}
	first, err := s.addTargets(ledger, 2, 0)
	if err != nil {
		return 0, err
	}
	go s.caller.receive()
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	go func() {
		for !s.caller.isStopped.Load() {
			go s.caller.sendOnce(ledgerRoute)
			time.Sleep(callerPause)
		}
	}()
	time.Sleep(6 * time.Second)

	second, err := s.addTargets(ledger, 4, coldFor)
	if err != nil {
		return 0, err
	}
	s.record.sayf("two new targets of %s start, cold for %s; the first two leave", ledger, coldFor)
	var ends sync.WaitGroup
	s.leave(first, &ends)
	if hasTrouble {
		time.Sleep(coldAtLeave)
	} else {
		time.Sleep(coldFor + 2*heartbeat)
	}
	acknowledged := s.leave(second, &ends)
	s.record.sayf("store: the new targets of %s are draining as well, acknowledged", ledger)
	ends.Wait()
	cutOff, taken, broken := 0, 0, 0
	for _, t := range second {
		cutOff += len(t.cutOff())
		t.mutex.Lock()
		for name, at := range t.takenAt {
			taken++
			if late := at.Sub(acknowledged); late > drainBound {
				broken++
				s.record.addf("DRAIN broken: %s reaches target %x %s after the store took that it leaves (bound %s)",
					name.caller, t.entry.Identifier, late.Round(time.Millisecond), drainBound)
			}
		}
		t.mutex.Unlock()
	}
	if taken == 0 {
		return 0, fmt.Errorf("the leaving targets took no flow")
	}
	s.record.sayf("%d requests ran at the new targets as they ended, and are never answered", cutOff)
	return broken, nil
}

// leave makes targets write that they are draining, and ends them serveAfterDrain after DrainMs.
func (s *site) leave(targets []*target, ends *sync.WaitGroup) (acknowledged time.Time) {
	for _, t := range targets {
		t.drain()
	}
	acknowledged = time.Now()
	for _, t := range targets {
		ends.Add(1)
		time.AfterFunc(drainBound+serveAfterDrain, func() {
			defer ends.Done()
			t.end()
			s.store.removeTarget(t.entry.Identifier, "left")
		})
	}
	return acknowledged
}

// addTargets starts two targets of a service at the addresses from a host on.
func (s *site) addTargets(service string, host int, cold time.Duration) ([]*target, error) {
	var targets []*target
	for index := range 2 {
		t, err := s.addTarget(service, targetZones[index], s.address(kindTarget, host+index, targetPort), cold)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}
