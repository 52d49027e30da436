package backend

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// returnPath is how replies reach one caller.
type returnPath struct {
	daemon  netip.AddrPort
	ingress netip.AddrPort
	service netip.AddrPort
	noted   time.Time
}

const (
	// daemonFresh is how lately a daemon must have been heard to be used
	// without a thought; daemonKnown how lately to be used at all in place of a
	// silent one.
	daemonFresh = time.Second
	daemonKnown = time.Minute
	// maximumPaths bounds the callers remembered; pathLifetime is when an idle
	// one may be forgotten.
	maximumPaths = 16384
	pathLifetime = 10 * time.Minute
)

// returnPaths remembers by which daemon each caller was last heard, and which
// daemons are alive. A feed on which only the target speaks would otherwise
// stall when the daemon it was last heard through dies.
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

// forgetIdle drops callers idle for long, and half of all if none is.
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

// choose returns a caller's path. If its daemon has gone quiet, any daemon heard
// of lately will do, drawn anew each time, so that a retransmission tries
// another.
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
