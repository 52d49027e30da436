package storelab

import (
	"math/rand/v2"
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

const (
	// maxDowntime bounds the time until another target starts at the address of a crashed one.
	maxDowntime = time.Second
	// minWriteDelay and maxWriteDelay bound the delay of a write that the store applies late.
	minWriteDelay = time.Second
	maxWriteDelay = 6 * time.Second
	// renewalInterval is the time between two writes of a target's entry.
	renewalInterval = 1200 * time.Millisecond
	// maxSlowStart bounds the slow start of a target.
	maxSlowStart = 5 * time.Second
	// maxColdAge bounds the age at which targets in slow start leave.
	maxColdAge = time.Second
)

// targetActions are faults of targets and of their entries, by name.
var targetActions = map[string]func(s *site, random *rand.Rand){
	"crash-write-late": (*site).replaceWithDelayedWrite,
	"leave-cold":       (*site).drainColdTargets,
}

// TargetFaults draws a schedule of faults of targets from a seed.
func TargetFaults(seed uint64, count int, duration time.Duration) []Fault {
	return drawSchedule(rand.New(rand.NewPCG(seed, 13)), targetActions, count, duration)
}

func randomDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// replaceWithDelayedWrite crashes a target and starts another one at its address. The store applies the
// last write of the crashed one late; the entry expires entryLifetime after the last applied write.
func (s *site) replaceWithDelayedWrite(random *rand.Rand) {
	s.withRandomTarget(random, func(crashed *target) {
		delay := randomDuration(random, minWriteDelay, maxWriteDelay)
		entry := s.entryOf(crashed, false)
		crashed.end()
		if delay > entryLifetime {
			time.AfterFunc(entryLifetime, func() { s.removeTarget(crashed) })
		}
		time.AfterFunc(delay, func() {
			s.mutex.Lock()
			s.store.Put(entry)
			s.mutex.Unlock()
			time.AfterFunc(entryLifetime, func() { s.removeTarget(crashed) })
		})
		time.Sleep(randomDuration(random, 0, maxDowntime))
		s.noteStartError(s.addTargetAt(crashed.service, crashed.address))
	})
}

// drainColdTargets drains all targets of a service, of which some are in slow start. Others start once
// the draining ones must get no more flows.
func (s *site) drainColdTargets(random *rand.Rand) {
	for range 2 {
		cold, err := s.addTarget(serviceOther)
		s.noteStartError(cold, err)
		if err == nil {
			s.startSlowly(cold, randomDuration(random, time.Second, maxSlowStart))
		}
	}
	time.Sleep(randomDuration(random, 0, maxColdAge))
	for _, leaving := range s.takeAllTargets(serviceOther) {
		s.drain(leaving)
	}
	time.Sleep(s.config.Bounds.Drain)
	s.noteFault(0, "service %s had no targets", serviceOther)
	for range s.config.Targets {
		s.noteStartError(s.addTarget(serviceOther))
	}
}

// startSlowly puts a target in slow start: its entry changes with each renewal until it is warm.
func (s *site) startSlowly(cold *target, slowStart time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cold.slowStart = slowStart
	s.putTarget(cold, cold.isDraining)
	if time.Since(cold.startedAt) < slowStart {
		time.AfterFunc(renewalInterval, func() { s.renew(cold) })
	}
}

// renew writes the entry of a target in slow start again.
func (s *site) renew(cold *target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cold.hasEnded.Load() {
		return
	}
	s.putTarget(cold, cold.isDraining)
	if time.Since(cold.startedAt) < cold.slowStart {
		time.AfterFunc(renewalInterval, func() { s.renew(cold) })
	}
}

// takeAllTargets removes and returns the targets of a service that are not leaving.
func (s *site) takeAllTargets(service string) []*target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var taken []*target
	for identifier, running := range s.targets {
		if running.service == service {
			taken = append(taken, running)
			delete(s.targets, identifier)
		}
	}
	return taken
}

// entryOf returns what a target writes now. With an odd seed and target faults, entries lack the
// incarnation, so that only their sequence numbers and creations tell targets at one address apart.
func (s *site) entryOf(t *target, isDraining bool) storeview.Entry {
	age := time.Since(t.startedAt)
	entry := &storeview.Target{
		Identifier: t.identifier, Service: t.service, Address: t.address,
		Zone: s.zone(int(t.identifier % 3)), Slots: 2, Draining: isDraining,
		SlowStartRemaining: max(0, t.slowStart-age), Sequence: 1 + uint64(age/renewalInterval),
	}
	if s.config.TargetFaults == 0 || s.config.Seed%2 == 0 {
		entry.Incarnation = uint64(t.startedAt.UnixMilli())
	}
	return storeview.Entry{Key: platform.TargetKey(t.identifier), Target: entry}
}
