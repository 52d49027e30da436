package balance

import (
	"sync"
	"time"
)

const (
	// coldSpan is over what time flows to a cold target are counted: the second for which
	// the bound holds, and how much closer to each other they may arrive than they left.
	coldSpan = 1100 * time.Millisecond
	// mostColdShare bounds this daemon's part of what a cold target can take, and the
	// memory for it.
	mostColdShare = 64
)

// coldWindow holds when the last flows were given to a cold target (a sliding log).
type coldWindow struct {
	mutex sync.Mutex
	// share is how many flows this daemon may give the target within coldSpan.
	share int
	times [mostColdShare]int64
	next  int
}

// SetColdShare says how many new flows a second this daemon may give the target while it is
// slow from its start and that is bounded. Until it is said, none.
func (s *Signal) SetColdShare(share int) {
	window := s.cold.Load()
	if window == nil {
		window = &coldWindow{}
		s.cold.Store(window)
	}
	window.mutex.Lock()
	defer window.mutex.Unlock()
	window.share = min(share, mostColdShare)
}

// noteCold counts a flow, if flows to the target are bounded.
func (s *Signal) noteCold(now time.Time) {
	window := s.cold.Load()
	if window == nil {
		return
	}
	window.mutex.Lock()
	defer window.mutex.Unlock()
	window.times[window.next] = now.UnixNano()
	window.next = (window.next + 1) % mostColdShare
}

// isColdShareUsed reports whether this daemon has given its share within the span.
func (s *Signal) isColdShareUsed(now time.Time) bool {
	window := s.cold.Load()
	if window == nil {
		return true
	}
	window.mutex.Lock()
	defer window.mutex.Unlock()
	if window.share <= 0 {
		return true
	}
	oldest := window.times[(window.next-window.share+mostColdShare)%mostColdShare]
	return oldest != 0 && now.UnixNano()-oldest < int64(coldSpan)
}
