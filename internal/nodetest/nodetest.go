// Package nodetest has helpers for the tests of both kinds of daemon.
package nodetest

import (
	"net/netip"
	"os"
	"testing"
	"time"
)

// Address returns a loopback address for a daemon or another part of a test site. It differs between
// test processes, so that several can run at once.
func Address(host, port int) netip.AddrPort {
	pid := os.Getpid()
	address := netip.AddrFrom4([4]byte{127, byte(32 + pid/256%28), byte(pid), byte(10 + host)})
	return netip.AddrPortFrom(address, uint16(port))
}

// WaitFor polls until done returns true, and fails the test after 30 s.
func WaitFor(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for range 1500 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out after 30 s waiting for %s", condition)
}
