package workload

import (
	"sync"
	"time"
)

// reportedLoad distorts the load that a target reports: it is always 0 if reportsZero
// is set, otherwise up to lag old.
type reportedLoad struct {
	reportsZero bool
	lag         time.Duration

	mutex       sync.Mutex
	updatedAt   time.Time
	busy        uint16
	connections uint32
}

func (l *reportedLoad) report(busy uint16, connections uint32) (uint16, uint32) {
	if l.reportsZero {
		return 0, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); now.Sub(l.updatedAt) >= l.lag {
		l.updatedAt, l.busy, l.connections = now, busy, connections
	}
	return l.busy, l.connections
}
