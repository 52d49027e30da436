// Package identity identifies one incarnation of a daemon process. Daemons have no stable storage, so a
// restarted daemon has lost its votes and grants: it gets a new identity, under which those of the old
// one do not count.
package identity

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Identity is one incarnation of a daemon at a control address.
type Identity struct {
	// Address is the control address.
	Address netip.AddrPort `cbor:"1,keyasint"`
	// Start differs at every start and increases with wall-clock time: Unix milliseconds in the upper
	// 44 bits, random bits below.
	Start uint64 `cbor:"2,keyasint"`
}

const randomBits = 20

// NewStart returns a start number; it uses the lower 20 bits of random.
func NewStart(unixMilliseconds int64, random uint64) uint64 {
	return uint64(unixMilliseconds)<<randomBits | random&(1<<randomBits-1)
}

// Compare compares by address, then by start.
func (i Identity) Compare(other Identity) int {
	if order := i.Address.Compare(other.Address); order != 0 {
		return order
	}
	return cmp.Compare(i.Start, other.Start)
}

// IsZero reports whether the identity is unset.
func (i Identity) IsZero() bool { return !i.Address.IsValid() }

// String returns the address and the start in hexadecimal, as in 192.0.2.1:7000#1f.
func (i Identity) String() string { return fmt.Sprintf("%s#%x", i.Address, i.Start) }
