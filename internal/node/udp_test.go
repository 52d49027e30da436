package node

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/backend"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/pki"
)

// startNamer runs a plain UDP target that answers with its name.
func startNamer(t *testing.T, keys string, number int) {
	t.Helper()
	name := fmt.Sprint("echo-", number)
	connection, err := backend.ListenPacket(siteAddress(100, 9000+number), backend.Config{
		Service: "echo", Target: name, KeyringPath: filepath.Join(keys, pki.KeyringFile),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			_, caller, err := connection.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = connection.WriteTo([]byte(name), caller)
		}
	}()
}

// askName sends until an answer comes, as callers of plain UDP do.
func askName(t *testing.T, caller *net.UDPConn) string {
	t.Helper()
	buffer := make([]byte, 2048)
	for range 100 {
		_, err := caller.Write([]byte("who"))
		assert.NilError(t, err)
		assert.NilError(t, caller.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		length, err := caller.Read(buffer)
		if err == nil {
			return string(buffer[:length])
		}
	}
	t.Fatal("no target answered")
	return ""
}

// TestPlainUDPFlowsStayThroughTableChangeOwnerDeathAndJoin holds 40 flows while
// a target is added, which moves the hash of some, an owner dies, and a daemon
// joins in its place.
func TestPlainUDPFlowsStayThroughTableChangeOwnerDeathAndJoin(t *testing.T) {
	site := startSite(t, 3, "")
	create := createEcho
	create.Service.Protocol = catalog.ProtocolUDP
	site.submit(t, create)
	for number := range 2 {
		startNamer(t, site.keys, 11+number)
		site.submit(t, addEcho(11+number))
	}
	var callers []*net.UDPConn
	var names []string
	for range 40 {
		caller, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(siteAddress(0, 8443)))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		callers = append(callers, caller)
		names = append(names, askName(t, caller))
	}
	stillThere := func(when string) {
		t.Helper()
		for index, caller := range callers {
			assert.Equal(t, askName(t, caller), names[index], "flow %d, %s", index, when)
		}
	}
	startNamer(t, site.keys, 13)
	site.submit(t, addEcho(13))
	stillThere("after a target was added")
	replicated := uint64(0)
	for _, node := range site.nodes {
		replicated += node.Stats().Actions["replicated_pin"]
	}
	assert.Assert(t, replicated > 0, "no flow became an exception, so the test shows nothing")
	site.nodes[1].Kill()
	stillThere("after an owner died")
	site.start(t, 1)
	waitFor(t, "the joined daemon", func() bool { return site.nodes[1].Ready() == "" })
	waitFor(t, "all to know it", func() bool { return len(site.nodes[0].view.Load().live) == 3 })
	stillThere("after a daemon joined")
}
