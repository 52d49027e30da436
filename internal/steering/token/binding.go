package token

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// binding masks tokens per destination address. A token that resolves to a known target under an
// address's binding shows that some daemon opened a flow to that target at that address, under a
// configuration that allowed it, so daemons need not remember which services a route once led to.
// Without it, a restarted daemon couldn't distinguish tokens of other routes from those of flows
// opened before a route changed.
//
// It is an unkeyed hash that catches mistakes, not a defence against callers that compute tokens.
// Those cannot open a flow with a token.
type binding uint32

// bindingOf returns the binding of the address and port that callers send to, the same on every
// daemon and never 0.
func bindingOf(address netip.AddrPort) binding {
	var bytes [18]byte
	ip := address.Addr().As16()
	copy(bytes[:], ip[:])
	binary.BigEndian.PutUint16(bytes[16:], address.Port())
	return binding(max(1, uint32(xxhash.Sum64(bytes[:]))))
}

// boundToken returns the bound form of a nonzero token, as packets carry it. It is never 0, which
// means no token: the token that would map to 0 maps to itself, a value no other token maps to.
func (b binding) boundToken(token uint32) uint32 {
	if token == uint32(b) {
		return token
	}
	return token ^ uint32(b)
}

// BoundTokenAt returns the bound token that packets carry in a flow opened at address to the target with
// the given identifier.
func BoundTokenAt(address netip.AddrPort, identifier uint64) uint32 {
	return bindingOf(address).boundToken(Of(identifier))
}

// token returns the token that a bound token stands for, 0 if there is none.
func (b binding) token(boundToken uint32) uint32 {
	switch boundToken {
	case 0:
		return 0
	case uint32(b):
		return boundToken
	}
	return boundToken ^ uint32(b)
}
