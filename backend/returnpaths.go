package backend

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// returnPath is the route of replies to one caller.
type returnPath struct {
	daemon    netip.AddrPort
	ingress   netip.AddrPort
	service   netip.AddrPort
	updatedAt time.Time
}

const (
	// daemonTimeout is the time without datagrams after which a caller's daemon is replaced;
	// replacementTimeout is the time after which a daemon is no longer used as a replacement.
	daemonTimeout      = time.Second
	replacementTimeout = time.Minute
	// maxPaths bounds the number of callers; pathIdleTimeout is the idle time after which one
	// may be evicted.
	maxPaths        = 16384
	pathIdleTimeout = 10 * time.Minute
)

// returnPaths records the daemon that last forwarded each caller's datagrams, and when each daemon was
// last active. A flow on which only the target sends would otherwise stall when its daemon fails.
type returnPaths struct {
	mutex        sync.Mutex
	paths        map[netip.AddrPort]returnPath
	lastActivity map[netip.AddrPort]time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{paths: map[netip.AddrPort]returnPath{}, lastActivity: map[netip.AddrPort]time.Time{}}
}

func (p *returnPaths) recordActivity(now time.Time, daemon netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastActivity[daemon] = now
}

func (p *returnPaths) setPath(now time.Time, caller netip.AddrPort, path returnPath) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path.updatedAt = now
	if _, known := p.paths[caller]; !known && len(p.paths) >= maxPaths {
		p.evictIdle(now)
	}
	p.paths[caller] = path
}

// evictIdle evicts idle callers, and then arbitrary ones until fewer than half of maxPaths remain.
func (p *returnPaths) evictIdle(now time.Time) {
	for caller, path := range p.paths {
		if now.Sub(path.updatedAt) > pathIdleTimeout {
			delete(p.paths, caller)
		}
	}
	for caller := range p.paths {
		if len(p.paths) < maxPaths/2 {
			return
		}
		delete(p.paths, caller)
	}
}

func (p *returnPaths) removeDaemon(daemon netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.lastActivity, daemon)
}

// choose returns a caller's path. If its daemon is unresponsive, the path uses a recently active one,
// chosen at random on every call, so that a retransmission is likely to try another.
func (p *returnPaths) choose(now time.Time, caller netip.AddrPort) (returnPath, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path, known := p.paths[caller]
	if !known || now.Sub(p.lastActivity[path.daemon]) < daemonTimeout {
		return path, known
	}
	var active []netip.AddrPort
	for daemon, activeAt := range p.lastActivity {
		if now.Sub(activeAt) < replacementTimeout {
			active = append(active, daemon)
		} else {
			delete(p.lastActivity, daemon)
		}
	}
	if len(active) > 0 {
		path.daemon = active[rand.IntN(len(active))]
	}
	return path, true
}
