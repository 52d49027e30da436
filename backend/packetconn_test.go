package backend

import (
	"bytes"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/encapsulation"
)

var (
	testCaller  = netip.MustParseAddrPort("198.51.100.7:4000")
	testService = netip.MustParseAddrPort("192.0.2.1:443")
)

// testTarget is a target with a socket that acts as a daemon.
type testTarget struct {
	t      *testing.T
	target *PacketConn
	daemon *net.UDPConn
}

func newTestTarget(t *testing.T) *testTarget {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keyring.yaml")
	assert.NilError(t, connectionid.SaveKeyring(path, 0, []connectionid.Key{{Secret: bytes.Repeat([]byte{1}, connectionid.KeySize)}}))
	target, err := ListenPacket(netip.MustParseAddrPort("127.0.0.1:0"), Config{Service: "roster", Target: "one", KeyringPath: path, Slots: 2})
	assert.NilError(t, err)
	daemon, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = target.Close()
		_ = daemon.Close()
	})
	return &testTarget{t: t, target: target, daemon: daemon}
}

func (t *testTarget) send(header encapsulation.Header, payload string) {
	t.t.Helper()
	header.Caller, header.Service = testCaller, testService
	_, err := t.daemon.WriteTo(append(encapsulation.Append(nil, &header), payload...), t.target.LocalAddr())
	assert.NilError(t.t, err)
}

// read returns the next payload that the target accepts.
func (t *testTarget) read() string {
	t.t.Helper()
	assert.NilError(t.t, t.target.SetReadDeadline(time.Now().Add(10*time.Second)))
	buffer := make([]byte, 2048)
	length, caller, err := t.target.ReadFrom(buffer)
	assert.NilError(t.t, err)
	assert.Equal(t.t, caller.String(), testCaller.String())
	return string(buffer[:length])
}

func (t *testTarget) reply() encapsulation.Header {
	t.t.Helper()
	_, err := t.target.WriteTo([]byte("answer"), net.UDPAddrFromAddrPort(testCaller))
	assert.NilError(t.t, err)
	assert.NilError(t.t, t.daemon.SetReadDeadline(time.Now().Add(10*time.Second)))
	buffer := make([]byte, 2048)
	length, _, err := t.daemon.ReadFrom(buffer)
	assert.NilError(t.t, err)
	var header encapsulation.Header
	offset, err := encapsulation.Parse(buffer[:length], &header)
	assert.NilError(t.t, err)
	assert.Equal(t.t, string(buffer[offset:length]), "answer")
	return header
}

func toTarget(service, target uint32, revision uint64, names string) encapsulation.Header {
	return encapsulation.Header{
		Kind: encapsulation.KindToTarget, ServiceNumber: service, TargetNumber: target, Revision: revision, Names: []byte(names),
	}
}

func TestDropsDatagramsForOtherTargets(t *testing.T) {
	target := newTestTarget(t)
	target.send(toTarget(1, 7, 1, ""), "numbers not known yet")
	target.send(toTarget(2, 9, 1, "ledger/one"), "another service")
	target.send(encapsulation.Header{}, "no route at all")
	target.send(toTarget(1, 7, 1, "roster/one"), "mine")
	target.send(toTarget(1, 8, 1, ""), "another target")
	target.send(toTarget(1, 7, 1, "roster/two"), "my number, another name")
	target.send(toTarget(1, 7, 1, ""), "mine again")
	assert.Equal(t, target.read(), "mine")
	assert.Equal(t, target.read(), "mine again")
	assert.Equal(t, target.target.dropped.Load(), uint64(5))
	assert.Equal(t, target.reply().TargetNumber, uint32(7))
}

func TestOperatorDrainIgnoresOlderRevision(t *testing.T) {
	target := newTestTarget(t)
	drained := toTarget(1, 7, 5, "roster/one")
	drained.Draining = true
	target.send(toTarget(1, 7, 4, "roster/one"), "a")
	target.read()
	assert.Equal(t, target.reply().Report.State, encapsulation.TargetAccepting)
	target.send(drained, "b")
	target.read()
	assert.Equal(t, target.reply().Report.State, encapsulation.TargetDraining)
	target.send(toTarget(1, 7, 4, ""), "c")
	target.read()
	assert.Equal(t, target.reply().Report.State, encapsulation.TargetDraining)
}

func TestRepliesAvoidUnresponsiveDaemon(t *testing.T) {
	paths := newReturnPaths()
	now := time.Unix(1000, 0)
	failed, active := netip.MustParseAddrPort("10.0.0.1:7003"), netip.MustParseAddrPort("10.0.0.2:7003")
	paths.recordActivity(now, failed)
	paths.setPath(now, testCaller, returnPath{daemon: failed})
	path, known := paths.choose(now, testCaller)
	assert.Assert(t, known)
	assert.Equal(t, path.daemon, failed)
	later := now.Add(5 * time.Second)
	paths.recordActivity(later, active)
	chosen := map[netip.AddrPort]bool{}
	for range 50 {
		path, _ = paths.choose(later, testCaller)
		chosen[path.daemon] = true
	}
	assert.Assert(t, chosen[active], "an active daemon was never tried")
	path, _ = paths.choose(now.Add(2*time.Minute), testCaller)
	assert.Equal(t, path.daemon, failed, "without a recently active daemon the recorded one is used")
	_, known = paths.choose(now, active)
	assert.Assert(t, !known)
}
