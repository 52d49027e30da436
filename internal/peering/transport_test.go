package peering

import (
	"crypto/tls"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/seal"
)

type recorder struct {
	datagrams chan string
	streams   chan *control.PeerMessage
}

func (r recorder) HandleDatagram(_ netip.AddrPort, datagram []byte) { r.datagrams <- string(datagram) }
func (r recorder) HandleStream(message *control.PeerMessage)        { r.streams <- message }

type member struct {
	transport *Transport
	recorder  recorder
	address   netip.AddrPort
}

// makeFleet creates the keys and certificates of a fleet and returns their directory.
func makeFleet(t *testing.T) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), "keys")
	var addresses []netip.Addr
	for number := range uint32(maxHosts) {
		addresses = append(addresses, hostAddress(number))
	}
	assert.NilError(t, pki.Initialize(directory, addresses, time.Now()))
	return directory
}

func credentialsOf(t *testing.T, directory, name string) *pki.Store {
	t.Helper()
	store, err := pki.Load(pki.Files{
		Authority:   filepath.Join(directory, pki.AuthorityFile),
		Certificate: filepath.Join(directory, name+".pem"), Key: filepath.Join(directory, name+"-key.pem"),
	})
	assert.NilError(t, err)
	return store
}

func startMember(t *testing.T, directory, certificate string) *member {
	t.Helper()
	sealer, err := seal.Load(filepath.Join(directory, pki.FleetKeyFile))
	assert.NilError(t, err)
	started := &member{
		address:  freeAddress(),
		recorder: recorder{datagrams: make(chan string, 16), streams: make(chan *control.PeerMessage, 16)},
	}
	started.transport, err = Listen(Config{
		Address: started.address, Credentials: credentialsOf(t, directory, certificate), Sealer: sealer,
		Handler: started.recorder, Logger: logr.Discard(),
	})
	assert.NilError(t, err)
	started.transport.Start()
	t.Cleanup(started.transport.Close)
	return started
}

// nextHost numbers the members of this test process; each has its own loopback address.
var nextHost atomic.Uint32

const maxHosts = 250

func hostAddress(number uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 61, byte(os.Getpid()), byte(1 + number%maxHosts)})
}

func freeAddress() netip.AddrPort { return netip.AddrPortFrom(hostAddress(nextHost.Add(1)), 7000) }

func (m *member) send(to netip.AddrPort, from netip.AddrPort) {
	message := control.PeerMessage{From: identity.Identity{Address: from, Start: 1}, GrantRequest: &control.GrantRequest{}}
	m.transport.SendStream(to, message)
	m.transport.SendDatagram(to, []byte("gossip"))
}

func TestMembersOfSameFleetExchangeMessages(t *testing.T) {
	keys := makeFleet(t)
	one, two := startMember(t, keys, "daemon"), startMember(t, keys, "daemon")
	one.send(two.address, one.address)
	assert.Equal(t, <-two.recorder.datagrams, "gossip")
	assert.Equal(t, (<-two.recorder.streams).From.Address, one.address)
}

// TestUnauthorizedPeersAreRefused sends with another fleet's keys, with an operator's certificate,
// from an address that is not in the certificate, and without a certificate.
func TestUnauthorizedPeersAreRefused(t *testing.T) {
	keys := makeFleet(t)
	listener := startMember(t, keys, "daemon")
	otherFleet := startMember(t, makeFleet(t), "daemon")
	operator := startMember(t, keys, "operator")
	wrongAddress := startMember(t, keys, "daemon")
	authorized := startMember(t, keys, "daemon")

	otherFleet.send(listener.address, otherFleet.address)
	operator.transport.SendStream(listener.address, control.PeerMessage{From: identity.Identity{Address: operator.address}})
	wrongAddress.transport.SendStream(listener.address, control.PeerMessage{From: identity.Identity{Address: netip.MustParseAddrPort("10.9.9.9:7000")}})
	connection, err := tls.Dial("tcp", listener.address.String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}})
	if err == nil {
		// In TLS 1.3 a client sees the rejection of its certificate with its first read.
		_, err = connection.Read(make([]byte, 1))
	}
	assert.Assert(t, err != nil, "a client without a certificate was accepted")

	// Wait until the listener has refused at least four of the five attempts: a datagram and a stream
	// with another fleet's keys, and the streams with a wrong role, a wrong address and no certificate.
	for listener.transport.Traffic().Refused.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	authorized.send(listener.address, authorized.address)
	assert.Equal(t, (<-listener.recorder.streams).From.Address, authorized.address, "the first message accepted must be from the authorized member")
	assert.Equal(t, <-listener.recorder.datagrams, "gossip")
}
