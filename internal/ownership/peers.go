package ownership

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ackTimeout is how long handovers may be unacknowledged before their peer is avoided: many
	// round trips within a region, and well below a caller's first retransmission timeout.
	ackTimeout = 100 * time.Millisecond
	// minUnacknowledged is the number of handovers that must be unacknowledged, so that one lost
	// acknowledgement does not count.
	minUnacknowledged = 2
	// avoidDuration is how long an unresponsive peer is avoided before it is tried again, with
	// exponential backoff: it doubles with each consecutive timeout, up to maxAvoidDoublings times.
	// Membership usually removes a dead peer before the second.
	avoidDuration     = 2 * time.Second
	maxAvoidDoublings = 5
	// maxPendingPerPeer bounds the handovers kept for resending.
	maxPendingPerPeer = 128
)

// Handover is a first flight forwarded to a flow's owner, kept until the owner acknowledges it.
type Handover struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Ingress netip.AddrPort
	Payload []byte
}

// Peer tracks one daemon as a receiver of handovers. Missing acknowledgements reveal a dead daemon
// within a tenth of a second, while membership takes seconds.
type Peer struct {
	avoided atomic.Bool

	mutex      sync.Mutex
	pending    []Handover
	sent       int
	oldestSent time.Time
	avoidUntil time.Time
	// timeouts is the number of timeouts since the peer last acknowledged anything.
	timeouts int
}

// IsAvoided reports whether the peer is skipped for new flows.
func (p *Peer) IsAvoided() bool { return p.avoided.Load() }

// RecordSent records a handover until it is acknowledged.
func (p *Peer) RecordSent(now time.Time, handover Handover) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sent == 0 {
		p.oldestSent = now
	}
	p.sent++
	if len(p.pending) < maxPendingPerPeer {
		p.pending = append(p.pending, handover)
	}
}

// RecordAcknowledgement records that the peer is alive. All handovers sent before count as delivered;
// the caller's retransmission covers those that were lost.
func (p *Peer) RecordAcknowledgement() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reset()
	p.timeouts = 0
	p.avoidUntil = time.Time{}
	p.avoided.Store(false)
}

func (p *Peer) reset() {
	p.pending = nil
	p.sent = 0
}

// TakeUnacknowledged returns the handovers to send again if the peer did not acknowledge in time, and
// ends the avoidance of a peer that is due to be tried again.
func (p *Peer) TakeUnacknowledged(now time.Time) []Handover {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.avoided.Load() && !now.Before(p.avoidUntil) {
		p.avoided.Store(false)
	}
	if p.sent == 0 || now.Sub(p.oldestSent) < ackTimeout {
		return nil
	}
	if p.sent < minUnacknowledged && now.Sub(p.oldestSent) < 2*ackTimeout {
		return nil
	}
	unacknowledged := p.pending
	if p.sent >= minUnacknowledged {
		p.avoided.Store(true)
		p.avoidUntil = now.Add(avoidDuration << min(p.timeouts, maxAvoidDoublings))
		p.timeouts++
	}
	p.reset()
	return unacknowledged
}

// Peers holds one Peer per data address of a daemon, independent of membership changes. It is safe
// for concurrent use.
type Peers struct {
	mutex sync.Mutex
	peers map[netip.AddrPort]*Peer
}

func NewPeers() *Peers { return &Peers{peers: map[netip.AddrPort]*Peer{}} }

// Get returns the peer at an address, creating it if necessary.
func (p *Peers) Get(address netip.AddrPort) *Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[address]
	if peer == nil {
		peer = &Peer{}
		p.peers[address] = peer
	}
	return peer
}

// Find returns the peer at an address, nil if Get was never called for it.
func (p *Peers) Find(address netip.AddrPort) *Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peers[address]
}

// Retain drops all peers except those at the given addresses.
func (p *Peers) Retain(addresses map[netip.AddrPort]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range p.peers {
		if !addresses[address] {
			delete(p.peers, address)
		}
	}
}

// TakeUnacknowledged returns the handovers that unresponsive peers did not acknowledge.
func (p *Peers) TakeUnacknowledged(now time.Time) []Handover {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var unacknowledged []Handover
	for _, peer := range p.peers {
		unacknowledged = append(unacknowledged, peer.TakeUnacknowledged(now)...)
	}
	return unacknowledged
}
