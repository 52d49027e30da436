package forwarding

import (
	"github.com/passtray/passtray/internal/encapsulation"
)

// Rewrite puts a header before the payload that starts at offset in the inbound
// buffer, in place, and returns the whole datagram. scratch is working memory of
// at least encapsulation.MaximumSize bytes. It reports false if the header does
// not fit, which Headroom rules out for a datagram that was read.
func Rewrite(inbound *Inbound, offset int, header *encapsulation.Header, scratch []byte) ([]byte, bool) {
	encoded := encapsulation.Append(scratch[:0], header)
	start := offset - len(encoded)
	if start < 0 {
		return nil, false
	}
	copy(inbound.Buffer[start:], encoded)
	return inbound.Buffer[start:], true
}
