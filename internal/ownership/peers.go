package ownership

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentAfter is how long handovers may stay unacknowledged before their
	// peer is avoided: many round trips of a region, and well below a client's
	// first retransmission.
	silentAfter = 100 * time.Millisecond
	// silentMinimum is how many handovers must be unacknowledged, so that one
	// lost acknowledgement does not count.
	silentMinimum = 2
	// avoidFor is how long a silent peer is avoided before it is tried again,
	// doubled at each further silence up to avoidDoublings times. Membership
	// usually removes a dead one before the second.
	avoidFor       = 2 * time.Second
	avoidDoublings = 5
	// pendingPerPeer bounds the handovers kept for sending again.
	pendingPerPeer = 128
)

// Handover is a first flight on its way to an owner, kept until the owner says
// that it came.
type Handover struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
	Ingress netip.AddrPort
	Payload []byte
}

// Peer is one daemon as a receiver of handovers. Membership needs seconds to
// find a dead daemon; its missing acknowledgements show within a tenth of one.
type Peer struct {
	avoided atomic.Bool

	mutex      sync.Mutex
	pending    []Handover
	sent       int
	oldest     time.Time
	avoidUntil time.Time
	// silences counts how often the peer was found silent since it last
	// acknowledged anything.
	silences int
}

// IsAvoided reports whether the peer is passed over for new flows.
func (p *Peer) IsAvoided() bool { return p.avoided.Load() }

// NoteSent keeps a handover until it is acknowledged.
func (p *Peer) NoteSent(now time.Time, handover Handover) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sent == 0 {
		p.oldest = now
	}
	p.sent++
	if len(p.pending) < pendingPerPeer {
		p.pending = append(p.pending, handover)
	}
}

// NoteAcknowledged says that the peer lives. What it was sent before came or
// was lost like any packet; the caller's retransmission covers that.
func (p *Peer) NoteAcknowledged() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reset()
	p.silences = 0
	p.avoidUntil = time.Time{}
	p.avoided.Store(false)
}

func (p *Peer) reset() {
	p.pending = nil
	p.sent = 0
}

// TakeSilent returns the handovers to be sent elsewhere, if the peer has turned
// out to be silent, and lets an avoided one be tried again in time.
func (p *Peer) TakeSilent(now time.Time) []Handover {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.avoided.Load() && !now.Before(p.avoidUntil) {
		p.avoided.Store(false)
	}
	if p.sent == 0 || now.Sub(p.oldest) < silentAfter {
		return nil
	}
	if p.sent < silentMinimum && now.Sub(p.oldest) < 2*silentAfter {
		return nil
	}
	unanswered := p.pending
	if p.sent >= silentMinimum {
		p.avoided.Store(true)
		p.avoidUntil = now.Add(avoidFor << min(p.silences, avoidDoublings))
		p.silences++
	}
	p.reset()
	return unanswered
}

// Peers keeps one peer for each daemon's data address through changes of
// membership. It is safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	peers map[netip.AddrPort]*Peer
}

// NewPeers makes an empty set.
func NewPeers() *Peers { return &Peers{peers: map[netip.AddrPort]*Peer{}} }

// Get returns the peer at an address.
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

// Find returns the peer at an address, nil if none was ever handed anything.
func (p *Peers) Find(address netip.AddrPort) *Peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peers[address]
}

// Retain forgets all peers but those at the addresses.
func (p *Peers) Retain(addresses map[netip.AddrPort]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range p.peers {
		if !addresses[address] {
			delete(p.peers, address)
		}
	}
}

// TakeSilent returns the handovers that silent peers did not acknowledge.
func (p *Peers) TakeSilent(now time.Time) []Handover {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var unanswered []Handover
	for _, peer := range p.peers {
		unanswered = append(unanswered, peer.TakeSilent(now)...)
	}
	return unanswered
}
