// Package identity names one run of one daemon. Machines keep nothing on disk,
// so a daemon that restarts has forgotten what it promised: it gets a new start
// number and must never count under its old identity.
package identity

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Identity is one run of the daemon at one control address.
type Identity struct {
	// Address is the daemon's control address.
	Address netip.AddrPort `cbor:"1,keyasint"`
	// Start differs at every start and grows with wall-clock time: Unix
	// milliseconds in the upper 44 bits, random bits below.
	Start uint64 `cbor:"2,keyasint"`
}

const randomBits = 20

// NewStart makes a start number from the time and random bits.
func NewStart(unixMilliseconds int64, random uint64) uint64 {
	return uint64(unixMilliseconds)<<randomBits | random&(1<<randomBits-1)
}

// Compare orders identities by address, then by start.
func (i Identity) Compare(other Identity) int {
	if order := i.Address.Compare(other.Address); order != 0 {
		return order
	}
	return cmp.Compare(i.Start, other.Start)
}

// IsZero reports whether the identity is unset.
func (i Identity) IsZero() bool { return !i.Address.IsValid() }

// String gives address and start.
func (i Identity) String() string { return fmt.Sprintf("%s#%x", i.Address, i.Start) }
