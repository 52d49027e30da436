// Package ownership selects the daemon that decides on a flow without a routable connection ID, by
// rendezvous hashing, and stores its decisions for the lifetime of the flow. It does no I/O and
// reads no clock.
package ownership

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// FlowKey identifies a flow: QUIC flows by the first connection ID, which the client chooses, plain
// UDP flows by the caller's address. The caller is part of the key, so that no hash collision leads
// to another caller's pin.
type FlowKey struct {
	Service uint32
	Hash    uint64
	Caller  netip.AddrPort
}

// KeyOfID returns the key of a QUIC flow from the connection ID that its client chose.
func KeyOfID(service uint32, caller netip.AddrPort, id []byte) FlowKey {
	return FlowKey{Service: service, Hash: murmurFinalizer(xxhash.Sum64(id) ^ uint64(service)), Caller: caller}
}

// KeyOfCaller returns the key of a plain UDP flow.
func KeyOfCaller(service uint32, caller netip.AddrPort) FlowKey {
	var buffer [18]byte
	address := caller.Addr().As16()
	copy(buffer[:], address[:])
	binary.BigEndian.PutUint16(buffer[16:], caller.Port())
	return FlowKey{Service: service, Hash: murmurFinalizer(xxhash.Sum64(buffer[:]) ^ uint64(service)), Caller: caller}
}

// murmurFinalizer is the finalizer of MurmurHash3, for its avalanche effect.
func murmurFinalizer(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// Node is a candidate of a rendezvous hash.
type Node struct {
	// Seed identifies the node. It must be the same on every daemon.
	Seed uint64
	// Weight is the node's relative share, above 0.
	Weight float64
}

// SeedOf returns the seed for a node's name.
func SeedOf(name []byte) uint64 { return xxhash.Sum64(name) }

// Rendezvous returns the index of the node with the highest score for the hash, -1 without nodes
// (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998; weights after
// Schindelhauer and Schomaker, 2005). When a node is added or removed, only the flows mapped to it
// move.
func Rendezvous(hash uint64, nodes []Node) int {
	best, bestScore := -1, math.Inf(-1)
	for index := range nodes {
		if score := rendezvousScore(hash, &nodes[index]); score > bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

func rendezvousScore(hash uint64, node *Node) float64 {
	uniform := (float64(murmurFinalizer(hash^node.Seed)>>11) + 0.5) / (1 << 53)
	return -node.Weight / math.Log(uniform)
}

// RendezvousUnweighted is Rendezvous for nodes of equal weight. It skips the nodes for which skip
// returns true, unless that excludes all of them. With equal weights the score is monotonic in the
// hash, so that no logarithm is needed.
func RendezvousUnweighted(hash uint64, nodes []Node, skip func(index int) bool) int {
	best, bestScore := -1, uint64(0)
	for index := range nodes {
		score := murmurFinalizer(hash^nodes[index].Seed) >> 11
		if (best < 0 || score > bestScore) && !skip(index) {
			best, bestScore = index, score
		}
	}
	if best < 0 && len(nodes) > 0 {
		return Rendezvous(hash, nodes)
	}
	return best
}

// Draw returns one of count choices for a hash; different n give independent choices. Its cost does
// not depend on count. A change of count moves most choices, so use it only where that is harmless.
func Draw(hash, n uint64, count int) int { return int(murmurFinalizer(hash+n) % uint64(count)) }
