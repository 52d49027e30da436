//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

const (
	contact = 4 * time.Second // ContactMs
	// lateBy is how much later the store does a write whose answer is lost: 1 to 6 s.
	lateBy = 5900 * time.Millisecond
	// requestPause is the pause between the requests on a flow.
	requestPause = 40 * time.Millisecond
)

// lateWrite plays case 1. A target crashes, and a new incarnation starts at its address under another
// identifier. The store does the last write of the crashed one late. A daemon is restarted as planned
// meanwhile. FLOW (a) is broken if a daemon resets a flow that is open at the new incarnation.
func lateWrite(s *site, hasTrouble bool) (int, error) {
	s.putConfiguration()
	var targets []*target
	for host := 1; host <= 6; host++ {
		t, err := s.addTarget(roster, targetZones[host%3], s.address(kindTarget, host, targetPort), 0)
		if err != nil {
			return 0, err
		}
		targets = append(targets, t)
	}
	if _, err := s.addTarget(ledger, targetZones[0], s.address(kindTarget, 7, targetPort), 0); err != nil {
		return 0, err
	}
	check := &resetCheck{site: s}
	s.caller.onReset = check.handle
	go s.caller.receive()
	if err := s.waitReady(); err != nil {
		return 0, err
	}
	for range 60 {
		go s.caller.keepFlow(rosterRoute, requestPause)
	}
	time.Sleep(5 * time.Second)

	old := targets[0]
	address := old.entry.Address
	written := make(chan struct{})
	var once sync.Once
	old.setWriteEntry(func(entry storeview.Target) {
		once.Do(func() {
			if hasTrouble {
				s.record.sayf("target %x writes its entry; the store loses the answer and does the write %s later", entry.Identifier, lateBy)
				time.AfterFunc(lateBy, func() {
					s.record.sayf("the store does the late write of target %x", entry.Identifier)
					s.store.writeTarget(entry)
				})
			} else {
				s.store.writeTarget(entry)
			}
			close(written)
		})
	})
	<-written
	time.Sleep(50 * time.Millisecond)
	s.record.sayf("target %x crashes", old.entry.Identifier)
	old.end()
	time.Sleep(300 * time.Millisecond)
	renewed, err := s.addTarget(roster, old.entry.Zone, address, 0)
	if err != nil {
		return 0, err
	}
	s.record.sayf("target %x starts at the address of target %x", renewed.entry.Identifier, old.entry.Identifier)
	check.watch(renewed)
	time.Sleep(time.Second)
	for range 60 {
		go s.caller.keepFlow(rosterRoute, requestPause)
	}
	time.Sleep(3500 * time.Millisecond)
	s.record.sayf("planned restart of %s", s.daemons[6].name)
	restarted := make(chan error, 1)
	go func() { restarted <- s.daemons[6].restart() }()
	time.Sleep(5 * time.Second)
	if err := <-restarted; err != nil {
		return 0, err
	}
	if check.flowsSeen() == 0 {
		return 0, fmt.Errorf("no flow was open at the new target")
	}
	broken, cutOff := check.count()
	s.record.sayf("%d requests ran at the target while their flows were reset", cutOff)
	return broken, nil
}

// resetCheck counts resets by daemons of flows that are open at one live target.
type resetCheck struct {
	site *site

	mutex   sync.Mutex
	watched *target
	broken  int
	// cutOff is the number of requests that ran at the time of the reset.
	cutOff   int
	reported map[flowName]bool
}

func (c *resetCheck) watch(t *target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watched, c.reported = t, map[flowName]bool{}
}

func (c *resetCheck) handle(name flowName, from netip.Addr) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.watched == nil || !c.site.isDaemon(from) || c.reported[name] {
		return
	}
	openedAt, running, isOpen := c.watched.openFlow(name)
	if !isOpen || time.Since(c.watched.startedAt) < contact {
		return
	}
	c.reported[name] = true
	c.broken++
	if running != 0 {
		c.cutOff++
		c.site.record.addf("request %d ran on that flow and is never answered", running)
	}
	c.site.record.sayf("FLOW broken: daemon %s resets %s, open for %s at target %x, which lives",
		from, name.caller, time.Since(openedAt).Round(time.Millisecond), c.watched.entry.Identifier)
}

func (c *resetCheck) count() (broken, cutOff int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken, c.cutOff
}

// flowsSeen returns the number of flows that opened at the target.
func (c *resetCheck) flowsSeen() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watched.mutex.Lock()
	defer c.watched.mutex.Unlock()
	return len(c.watched.flows)
}
