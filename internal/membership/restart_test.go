package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// network delivers the datagrams of groups after a delay, in virtual time.
type network struct {
	now     time.Time
	groups  map[netip.AddrPort]*Group
	transit []inTransit
}

type inTransit struct {
	at     time.Time
	from   netip.AddrPort
	to     netip.AddrPort
	packet []byte
}

const (
	networkDelay = 2 * time.Millisecond
	networkTick  = 50 * time.Millisecond
)

func newNetwork(members int) *network {
	n := &network{now: testStart, groups: map[netip.AddrPort]*Group{}}
	for host := range byte(members) {
		n.start(host+1, 1000)
	}
	return n
}

// start starts a member with a start number, in place of an earlier one at its address. It knows one
// seed.
func (n *network) start(host byte, start uint64) *Group {
	self := memberAt(host, start)
	group := NewGroup(DefaultLANConfig(), self, rand.New(rand.NewPCG(uint64(host), start)))
	group.SetSeeds([]netip.AddrPort{memberAt(1, 0).Identity.Address, memberAt(2, 0).Identity.Address})
	n.groups[self.Identity.Address] = group
	return group
}

func (n *network) send(from netip.AddrPort, output Output) {
	for _, datagram := range output.Datagrams {
		n.transit = append(n.transit, inTransit{at: n.now.Add(networkDelay), from: from, to: datagram.To, packet: datagram.Bytes})
	}
}

func (n *network) deliver() {
	due := n.transit
	n.transit = nil
	for _, datagram := range due {
		if datagram.at.After(n.now) {
			n.transit = append(n.transit, datagram)
		} else if group := n.groups[datagram.to]; group != nil {
			n.send(datagram.to, group.Step(n.now, datagram.from, datagram.packet))
		}
	}
}

// run advances the time until isDone, at most by limit, and returns how long it took.
func (n *network) run(limit time.Duration, isDone func() bool) time.Duration {
	began := n.now
	for n.now.Sub(began) < limit && !isDone() {
		n.now = n.now.Add(networkDelay)
		n.deliver()
		if n.now.Sub(testStart)%networkTick != 0 {
			continue
		}
		for host := range byte(len(n.groups)) {
			address := memberAt(host+1, 0).Identity.Address
			n.send(address, n.groups[address].Tick(n.now))
		}
	}
	return n.now.Sub(began)
}

// reconcile has a member learn the full list from another one, as a daemon does with its first pull.
func (n *network) reconcile(host, peer byte) {
	group, other := n.groups[memberAt(host, 0).Identity.Address], n.groups[memberAt(peer, 0).Identity.Address]
	n.send(group.Self().Identity.Address, group.Adopt(n.now, other.MissingFrom(group.Fingerprints())))
}

// isKnown reports whether all members know the current one at an address as live.
func (n *network) isKnown(host byte) bool {
	identity := n.groups[memberAt(host, 0).Identity.Address].Self().Identity
	for _, group := range n.groups {
		if !group.IsLive(identity) {
			return false
		}
	}
	return true
}

// TestRestartAfterClockStepRejoinsAtOnce guards against peers that hold a restarted member for its
// earlier incarnation until that is detected as failed, if the clock of its machine jumped back.
func TestRestartAfterClockStepRejoinsAtOnce(t *testing.T) {
	const limit = time.Minute
	rejoin := func(t *testing.T, members, restarted byte, start uint64) time.Duration {
		t.Helper()
		network := newNetwork(int(members))
		for host := range members {
			network.run(100*time.Millisecond, func() bool { return false })
			network.reconcile(host+1, 1+host%2)
		}
		for host := range members {
			network.reconcile(host+1, members)
			assert.Assert(t, network.isKnown(host+1))
		}
		network.start(restarted, start)
		network.run(100*time.Millisecond, func() bool { return false })
		network.reconcile(restarted, 2)
		return network.run(limit, func() bool { return network.isKnown(restarted) })
	}
	for _, members := range []byte{3, 7, 40} {
		for restarted := byte(3); restarted < min(members, 8); restarted++ {
			later, earlier := rejoin(t, members, restarted, 2000), rejoin(t, members, restarted, 500)
			t.Logf("member %d of %d: %s, with an earlier start number %s", restarted, members, later, earlier)
			assert.Assert(t, earlier <= later+DefaultLANConfig().ProbeInterval, "known to all after %s, with a later start number after %s", earlier, later)
		}
	}
}

// TestOldReportsOfRestartedMembersCauseFewPings guards against a ping for each old report of a member,
// when most of a large group restart at once.
func TestOldReportsOfRestartedMembersCauseFewPings(t *testing.T) {
	group := groupAt(1)
	var restarted, reported []Member
	for host := range byte(200) {
		restarted = append(restarted, memberAt(host+2, 20))
		reported = append(reported, memberAt(host+2, 10))
	}
	group.Merge(testStart, restarted)
	pings := 0
	for range 12 {
		pings += len(group.Merge(testStart, reported).Datagrams)
	}
	assert.Equal(t, pings, maxIncumbentPings)
	assert.Equal(t, len(group.Live()), len(restarted)+1)
}
