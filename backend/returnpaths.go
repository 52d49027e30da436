package backend

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// returnPath is the route of replies to one caller.
type returnPath struct {
	daemon  netip.AddrPort
	ingress netip.AddrPort
	service netip.AddrPort
	noted   time.Time
}

const (
	// daemonFresh is the time without datagrams after which a caller's daemon is replaced;
	// daemonKnown is the time after which a daemon is no longer used as a replacement.
	daemonFresh = time.Second
	daemonKnown = time.Minute
	// maximumPaths bounds the number of callers; pathLifetime is the idle time after which one
	// may be evicted.
	maximumPaths = 16384
	pathLifetime = 10 * time.Minute
)

// returnPaths records the daemon that last forwarded each caller's datagrams, and when each daemon was
// last active. A flow on which only the target sends would otherwise stall when its daemon fails.
type returnPaths struct {
	mutex   sync.Mutex
	callers map[netip.AddrPort]returnPath
	daemons map[netip.AddrPort]time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{callers: map[netip.AddrPort]returnPath{}, daemons: map[netip.AddrPort]time.Time{}}
}

func (p *returnPaths) heard(now time.Time, daemon netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.daemons[daemon] = now
}

func (p *returnPaths) note(now time.Time, caller netip.AddrPort, path returnPath) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path.noted = now
	if _, known := p.callers[caller]; !known && len(p.callers) >= maximumPaths {
		p.forgetIdle(now)
	}
	p.callers[caller] = path
}

// forgetIdle evicts idle callers, and then arbitrary ones until fewer than half of maximumPaths remain.
func (p *returnPaths) forgetIdle(now time.Time) {
	for caller, path := range p.callers {
		if now.Sub(path.noted) > pathLifetime {
			delete(p.callers, caller)
		}
	}
	for caller := range p.callers {
		if len(p.callers) < maximumPaths/2 {
			return
		}
		delete(p.callers, caller)
	}
}

func (p *returnPaths) failed(daemon netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.daemons, daemon)
}

// choose returns a caller's path. If its daemon is unresponsive, the path uses a recently active one,
// chosen at random on every call, so that a retransmission is likely to try another.
func (p *returnPaths) choose(now time.Time, caller netip.AddrPort) (returnPath, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path, known := p.callers[caller]
	if !known || now.Sub(p.daemons[path.daemon]) < daemonFresh {
		return path, known
	}
	var alive []netip.AddrPort
	for daemon, heard := range p.daemons {
		if now.Sub(heard) < daemonKnown {
			alive = append(alive, daemon)
		} else {
			delete(p.daemons, daemon)
		}
	}
	if len(alive) > 0 {
		path.daemon = alive[rand.IntN(len(alive))]
	}
	return path, true
}
