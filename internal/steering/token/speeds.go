package token

import "time"

// SetSpeeds says how fast targets work, by their token; speed reports false for one of which
// nothing is known. Signals hold speeds as of the mean of their service.
func (t *Table) SetSpeeds(now time.Time, speed func(token uint32) (float64, bool)) {
	for _, service := range t.services {
		service.setSpeeds(now, speed)
	}
}

// SpeedOf returns how fast a target works, 1 being the mean of its service; it reports false
// if there is no such target.
func (t *Table) SpeedOf(now time.Time, identifier uint64) (float64, bool) {
	target := t.targetOf(identifier)
	if target == nil {
		return 0, false
	}
	return target.Signal.Speed(now), true
}

// SlowestSpeeds returns, by service, the speed of the slowest of its targets that may get
// new flows.
func (t *Table) SlowestSpeeds(now time.Time) map[string]float64 {
	slowest := make(map[string]float64, len(t.services))
	for name, service := range t.services {
		for _, target := range service.Targets {
			speed := target.Signal.Speed(now)
			if held, isKnown := slowest[name]; !isKnown || speed < held {
				slowest[name] = speed
			}
		}
	}
	return slowest
}

func (s *Service) setSpeeds(now time.Time, speed func(token uint32) (float64, bool)) {
	var sum float64
	known := 0
	for _, target := range s.Targets {
		if times, isKnown := speed(target.Token); isKnown {
			sum += times
			known++
		}
	}
	for _, target := range s.Targets {
		times, isKnown := speed(target.Token)
		if !isKnown {
			target.Signal.SetSpeed(now, 1)
			continue
		}
		target.Signal.SetSpeed(now, times*float64(known)/sum)
	}
}
