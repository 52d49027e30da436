package workload

import (
	"sync"
	"time"
)

// reportedLoad is what a target says of its load in place of the truth: nothing
// at all if it lies, or what was true a while ago if it lags.
type reportedLoad struct {
	lies bool
	lag  time.Duration

	mutex       sync.Mutex
	taken       time.Time
	busy        uint16
	connections uint32
}

func (l *reportedLoad) report(busy uint16, connections uint32) (uint16, uint32) {
	if l.lies {
		return 0, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); now.Sub(l.taken) >= l.lag {
		l.taken, l.busy, l.connections = now, busy, connections
	}
	return l.busy, l.connections
}
