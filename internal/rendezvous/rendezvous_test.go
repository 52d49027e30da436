package rendezvous

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func daemons(count int) []netip.AddrPort {
	var list []netip.AddrPort
	for index := range count {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 8166))
	}
	return list
}

func TestTopAgreesWithIsInTop(t *testing.T) {
	for key := range uint64(50) {
		chosen := map[netip.AddrPort]bool{}
		for _, daemon := range Top(key, daemons(30), 4) {
			chosen[daemon] = true
		}
		assert.Equal(t, len(chosen), 4)
		for _, daemon := range daemons(30) {
			assert.Equal(t, IsInTop(key, daemon, daemons(30), 4), chosen[daemon])
		}
	}
}

func TestRemovalAffectsOnlyOwnKeys(t *testing.T) {
	all := daemons(30)
	for key := range uint64(200) {
		before := Top(key, daemons(30), 1)[0]
		after := Top(key, daemons(29), 1)[0]
		if before != all[29] {
			assert.Equal(t, after, before)
		}
	}
}

func TestKeysAreSpreadEvenly(t *testing.T) {
	counts := map[netip.AddrPort]int{}
	for key := range uint64(3000) {
		counts[Top(key, daemons(30), 1)[0]]++
	}
	for daemon, count := range counts {
		assert.Assert(t, count > 60 && count < 150, "%s got %d of 3000 keys", daemon, count)
	}
	assert.Equal(t, len(counts), 30)
}
