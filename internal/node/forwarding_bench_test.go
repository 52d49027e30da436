package node

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/ipv4"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/steering"
)

const (
	benchPayload = 1200
	benchWindow  = 256 // datagrams in flight, fewer than a socket buffer holds
)

// bareRelay forwards every datagram without parsing it: the baseline with the same batching.
type bareRelay struct {
	socket forwarding.Socket
	to     netip.AddrPort
}

func (r bareRelay) Handle(worker *forwarding.Worker, inbound *forwarding.Inbound) {
	worker.Send(r.socket, r.to, inbound.Datagram())
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func listenLoopback(b *testing.B) forwarding.Socket {
	b.Helper()
	socket, err := forwarding.Listen(loopback(), false)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = socket.Close() })
	return socket
}

// BenchmarkForwarding compares the routed path (parse the fabric header, decide, write the target header) with a bare
// relay, with one worker each.
func BenchmarkForwarding(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		sink := listenLoopback(b)
		out := listenLoopback(b)
		runForwarding(b, sink, bareRelay{socket: out, to: forwarding.AddressOf(sink.LocalAddr())}, benchKeyring(b))
	})
	b.Run("passtray", func(b *testing.B) {
		sink := listenLoopback(b)
		keyring := benchKeyring(b)
		plane := benchPlane(forwarding.AddressOf(sink.LocalAddr()), listenLoopback(b), keyring)
		runForwarding(b, sink, fabricHandler{plane}, keyring)
	})
}

func benchKeyring(b *testing.B) *connectionid.Keyring {
	b.Helper()
	secret, err := hex.DecodeString("000102030405060708090a0b0c0d0e0f")
	assert.NilError(b, err)
	keyring, err := connectionid.NewKeyring(0, []connectionid.Key{{Secret: secret}})
	assert.NilError(b, err)
	return keyring
}

var benchService = netip.MustParseAddrPort("192.0.2.1:443")

func benchPlane(target netip.AddrPort, backend forwarding.Socket, keyring *connectionid.Keyring) *dataPlane {
	state := &catalog.State{
		Revision: 1,
		Services: []catalog.Service{{Number: 1, Name: "roster", Address: benchService, Protocol: catalog.ProtocolQUIC}},
		Targets:  []catalog.Target{{Number: 1, Service: 1, Name: "one", Address: target, Weight: 100, State: catalog.TargetActive}},
	}
	plane := &dataPlane{
		mode: ModeOwner, counters: &dataCounters{}, backend: backend,
		fabricSources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
	}
	self := membership.Member{}
	plane.snapshot.Store(steering.Build(&steering.Inputs{
		State: state, Self: self, Live: []membership.Member{self}, Keyring: keyring,
		LeaseEnds: &atomic.Int64{}, Signals: steering.NewSignals(), Peers: ownership.NewPeers(),
	}))
	return plane
}

// runForwarding sends b.N datagrams through a worker with at most benchWindow in flight, so that none is lost.
func runForwarding(b *testing.B, sink forwarding.Socket, handler forwarding.Handler, keyring *connectionid.Keyring) {
	front := listenLoopback(b)
	source := listenLoopback(b)
	worker := forwarding.NewWorker(front, handler, &forwarding.Counters{})
	worker.Context = newWorkerContext()
	go worker.Run()
	datagram := benchDatagram(keyring)
	outgoing := make([]ipv4.Message, forwarding.BatchSize)
	for index := range outgoing {
		outgoing[index] = ipv4.Message{Buffers: [][]byte{datagram}, Addr: front.LocalAddr()}
	}
	arrived := make(chan int, 1024)
	go countArrivals(sink, arrived)
	b.SetBytes(benchPayload)
	b.ResetTimer()
	sent, received := 0, 0
	for received < b.N {
		for sent < b.N && sent-received < benchWindow {
			count, err := source.WriteBatch(outgoing[:min(len(outgoing), b.N-sent)], 0)
			assert.NilError(b, err)
			sent += count
		}
		select {
		case count := <-arrived:
			received += count
		case <-time.After(time.Second):
			b.Fatalf("%d of %d datagrams were lost", sent-received, sent)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
	_ = front.Close()
}

func benchDatagram(keyring *connectionid.Keyring) []byte {
	id := keyring.Encode(connectionid.Route{Service: 1, Target: 1}, [connectionid.NonceSize]byte{1})
	payload := append([]byte{0x40}, id[:]...)
	payload = append(payload, bytes.Repeat([]byte{1}, benchPayload-len(payload))...)
	header := encapsulation.Header{Caller: netip.MustParseAddrPort("198.51.100.7:4000"), Service: benchService}
	return append(encapsulation.Append(nil, &header), payload...)
}

func countArrivals(sink forwarding.Socket, arrived chan<- int) {
	messages := make([]ipv4.Message, forwarding.BatchSize)
	for index := range messages {
		messages[index].Buffers = [][]byte{make([]byte, forwarding.MaxDatagramSize)}
	}
	for {
		count, err := sink.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		arrived <- count
	}
}
