//go:build review

package main

import "time"

const (
	// refusalTime is how long the store turns the reader's machine away, roundTime the time from one
	// round to the next: long enough for that machine to be in touch again.
	refusalTime = 5 * time.Second
	roundTime   = 10 * time.Second
	rounds      = 9
	// leaveInterval is the time between two targets that leave.
	leaveInterval = 250 * time.Millisecond
	// flowInterval is the time between two flows of a client: 100 a second in all.
	flowInterval = 40 * time.Millisecond
)

// silentLeave takes two targets away in each round, whose entries go without a word of draining. With
// trouble, the store turns the machine of its reader away between the two.
func silentLeave(s *site, hasTrouble bool) (breaches int, err error) {
	done := make(chan struct{})
	for _, c := range s.clients {
		go c.sendAt(routeRoster, flowInterval, done)
	}
	var left []*target
	for range rounds {
		began := time.Now()
		leaving := s.pickTargets(serviceRoster, 2)
		reader := s.reader()
		s.leaveSilently(leaving[0])
		if hasTrouble {
			time.Sleep(leaveInterval / 5)
			reader.trouble(time.Now().Add(refusalTime))
			reader.front.setSilent(true)
			s.record.note("disruption: the store turns %s away by silence", reader.name)
			time.AfterFunc(refusalTime, func() {
				reader.front.setSilent(false)
				s.record.note("disruption: the store serves %s again", reader.name)
			})
		}
		time.Sleep(time.Until(began.Add(leaveInterval)))
		s.leaveSilently(leaving[1])
		left = append(left, leaving...)
		for range leaving {
			if _, err := s.startTarget(serviceRoster); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	close(done)
	time.Sleep(requestDeadline)
	return s.lateOpenings(left), nil
}

// lateOpenings counts the flows that a target took later than the drain time after the store had taken
// that it is gone, through a machine that was in touch.
func (s *site) lateOpenings(left []*target) int {
	breaches := 0
	for _, t := range left {
		taken, leftAt := t.openings()
		for _, first := range taken {
			late := first.at.Sub(leftAt) - drainTime
			if late <= 0 || first.daemon == nil || !first.daemon.isInTouch(first.at) {
				continue
			}
			breaches++
			s.record.note("DRAIN: target %x took the first packet of %s through %s, in touch, %d ms after it was gone", t.identifier, first.name.caller, first.daemon.name, (late + drainTime).Milliseconds())
		}
	}
	return breaches
}
