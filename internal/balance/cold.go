package balance

import (
	"sync"
	"time"
)

const (
	// coldSpan is the window over which flows to a warming-up target are counted: one second, plus
	// 100 ms because flows may arrive closer together than they were sent.
	coldSpan = 1100 * time.Millisecond
	// mostColdShare is the maximum share of one daemon, and the size of its log.
	mostColdShare = 64
)

// coldWindow is a sliding-window log of the flows last assigned to a warming-up target.
type coldWindow struct {
	mutex sync.Mutex
	// share is the maximum number of flows within coldSpan.
	share int
	times [mostColdShare]int64
	next  int
}

// SetColdShare sets how many new flows per second this daemon may assign to the target during
// slow start, if that is limited. The limit is 0 until it is set.
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

// noteCold logs a flow if the target has a limit.
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

// isColdShareUsed reports whether this daemon's limit is reached.
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
