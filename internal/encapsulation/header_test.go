package encapsulation

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"testing"

	proxyproto "github.com/pires/go-proxyproto"
	"gotest.tools/v3/assert"
)

func newTestHeader(kind Kind) *Header {
	header := &Header{
		Kind:    kind,
		Caller:  netip.MustParseAddrPort("198.51.100.7:4000"),
		Service: netip.MustParseAddrPort("192.0.2.1:443"),
	}
	if kind == KindFabric {
		return header
	}
	header.ServiceNumber, header.TargetNumber, header.Revision = 3, 4, 5
	header.Ingress = netip.MustParseAddrPort("10.0.0.9:7000")
	if kind == KindFromTarget {
		header.Report = Report{State: TargetDraining, BusySlots: 1, Slots: 2, Connections: 30, MaximumConnections: 2000}
	}
	if kind == KindToTarget {
		header.Names = []byte("roster/roster-1")
		header.Draining = true
	}
	return header
}

func TestAppendParseRoundTrip(t *testing.T) {
	for kind := KindFabric; kind <= KindReplicatePin; kind++ {
		want := newTestHeader(kind)
		datagram := append(Append(nil, want), "payload"...)
		var got Header
		length, err := Parse(datagram, &got)
		assert.NilError(t, err)
		assert.Equal(t, string(datagram[length:]), "payload")
		assert.Equal(t, got.Caller, want.Caller)
		assert.Equal(t, got.Ingress, want.Ingress)
		assert.Equal(t, got.Report, want.Report)
		assert.Equal(t, got.Draining, want.Draining)
		assert.Equal(t, got.TargetNumber, want.TargetNumber)
		assert.Equal(t, string(got.Names), string(want.Names))
	}
}

func TestProxyprotoReadsAppendedHeader(t *testing.T) {
	for kind := KindFabric; kind <= KindReplicatePin; kind++ {
		want := newTestHeader(kind)
		header, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(Append(nil, want))))
		assert.NilError(t, err)
		assert.Equal(t, header.SourceAddr.String(), want.Caller.String())
		assert.Equal(t, header.DestinationAddr.String(), want.Service.String())
	}
}

func TestParseReadsProxyprotoHeader(t *testing.T) {
	for _, address := range []string{"198.51.100.7:4000", "[2001:db8::1]:4000"} {
		source := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))
		proxyHeader := &proxyproto.Header{
			Version: 2, Command: proxyproto.PROXY, TransportProtocol: proxyproto.UDPv4,
			SourceAddr: source, DestinationAddr: source,
		}
		if source.IP.To4() == nil {
			proxyHeader.TransportProtocol = proxyproto.UDPv6
		}
		encoded, err := proxyHeader.Format()
		assert.NilError(t, err)
		var got Header
		length, err := Parse(encoded, &got)
		assert.NilError(t, err)
		assert.Equal(t, length, len(encoded))
		assert.Equal(t, got.Caller.String(), address)
		assert.Equal(t, got.Kind, KindFabric)
	}
}

func TestParseRejectsTruncatedHeaders(t *testing.T) {
	encoded := Append(nil, newTestHeader(KindFromTarget))
	for length := range encoded {
		var header Header
		_, err := Parse(encoded[:length], &header)
		assert.Assert(t, err != nil, "%d of %d bytes were accepted", length, len(encoded))
	}
}

func FuzzParse(f *testing.F) {
	for kind := KindFabric; kind <= KindReplicatePin; kind++ {
		f.Add(append(Append(nil, newTestHeader(kind)), "payload"...))
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var header Header
		length, err := Parse(datagram, &header)
		if err != nil {
			return
		}
		if length > len(datagram) {
			t.Fatalf("length %d of %d", length, len(datagram))
		}
		var reparsed Header
		_, err = Parse(Append(nil, &header), &reparsed)
		assert.NilError(t, err)
		assert.Equal(t, reparsed.Caller, header.Caller)
		assert.Equal(t, reparsed.Report, header.Report)
		assert.Equal(t, reparsed.Kind, header.Kind)
	})
}

func BenchmarkParseAndAppend(b *testing.B) {
	datagram := Append(nil, newTestHeader(KindToTarget))
	buffer := make([]byte, 0, MaxSize)
	var header Header
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Parse(datagram, &header)
		buffer = Append(buffer[:0], &header)
	}
}

func BenchmarkProxyproto(b *testing.B) {
	datagram := Append(nil, newTestHeader(KindToTarget))
	b.ReportAllocs()
	for b.Loop() {
		header, _ := proxyproto.Read(bufio.NewReaderSize(bytes.NewReader(datagram), 256))
		_, _ = header.Format()
	}
}
