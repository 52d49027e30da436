package balance

import (
	"sync"
	"time"

	"github.com/passtray/passtray/internal/monotonic"
)

const (
	// slowStartWindow is the window over which flows to a warming-up target are counted: one second, plus
	// 100 ms because flows may arrive closer together than they were sent.
	slowStartWindow = 1100 * time.Millisecond
	// maxSlowStartShare is the maximum share of one daemon, and the size of its log.
	maxSlowStartShare = 64
)

// slowStartLog is a sliding-window log of the flows last assigned to a warming-up target.
type slowStartLog struct {
	mutex sync.Mutex
	// share is the maximum number of flows within slowStartWindow.
	share int
	times [maxSlowStartShare]int64
	next  int
}

// SetSlowStartShare sets how many new flows per second this daemon may assign to the target during
// slow start, if that is limited. The limit is 0 until it is set.
func (s *Signal) SetSlowStartShare(share int) {
	log := s.slowStart.Load()
	if log == nil {
		log = &slowStartLog{}
		s.slowStart.Store(log)
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.share = min(share, maxSlowStartShare)
}

// logSlowStartFlow logs a flow if the target has a limit.
func (s *Signal) logSlowStartFlow(now time.Time) {
	log := s.slowStart.Load()
	if log == nil {
		return
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.times[log.next] = monotonic.Nanoseconds(now)
	log.next = (log.next + 1) % maxSlowStartShare
}

// isSlowStartShareUsed reports whether this daemon's limit is reached.
func (s *Signal) isSlowStartShareUsed(now time.Time) bool {
	log := s.slowStart.Load()
	if log == nil {
		return true
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.share <= 0 {
		return true
	}
	oldest := log.times[(log.next-log.share+maxSlowStartShare)%maxSlowStartShare]
	return oldest != 0 && monotonic.Nanoseconds(now)-oldest < int64(slowStartWindow)
}
