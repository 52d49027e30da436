package forwarding

import (
	"github.com/passtray/passtray/internal/encapsulation"
)

// Rewrite encodes a header in front of the payload that starts at offset, in place, and returns the resulting
// datagram. scratch must hold at least encapsulation.MaxSize bytes. Rewrite returns false if the header
// does not fit, which cannot happen for a payload behind the buffer's Headroom.
func Rewrite(inbound *Inbound, offset int, header *encapsulation.Header, scratch []byte) ([]byte, bool) {
	encoded := encapsulation.Append(scratch[:0], header)
	start := offset - len(encoded)
	if start < 0 {
		return nil, false
	}
	copy(inbound.Buffer[start:], encoded)
	return inbound.Buffer[start:], true
}
