package token

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// binding ties words to an address: a target's token stands in packets only in the form
// that it has at the address where its flow was opened. A word that names a known target
// under an address's binding therefore says by itself that some daemon opened a flow to
// that target there, under a configuration that allowed it, and no daemon needs to
// remember which services a route led to. Without the binding a daemon would have to
// choose between words of other routes that it follows and open flows that it drops once
// it was restarted after a change of routes.
//
// It is a fingerprint without a key: it tells mistaken words from good ones. Against a
// caller who computes words stands what stood there before, that no word opens a flow.
type binding uint32

// bindingOf returns the binding of the address and port that callers send to, the same on
// every daemon, never 0.
func bindingOf(address netip.AddrPort) binding {
	var bytes [18]byte
	ip := address.Addr().As16()
	copy(bytes[:], ip[:])
	binary.BigEndian.PutUint16(bytes[16:], address.Port())
	return binding(max(1, uint32(xxhash.Sum64(bytes[:]))))
}

// word returns what stands in packets for a target's token, which is not 0. Nor is the
// word: 0 stands for none. The token that would become 0 has the word that no token has.
func (b binding) word(token uint32) uint32 {
	if token == uint32(b) {
		return token
	}
	return token ^ uint32(b)
}

// WordAt returns what stands in packets of a flow that was opened at an address to the
// target with an identifier.
func WordAt(address netip.AddrPort, identifier uint64) uint32 {
	return bindingOf(address).word(Of(identifier))
}

// token returns the token that a word stands for, 0 if the word is none's.
func (b binding) token(word uint32) uint32 {
	switch word {
	case 0:
		return 0
	case uint32(b):
		return word
	}
	return word ^ uint32(b)
}
