package admission

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// The QUIC client must receive CONNECTION_REFUSED from the remote end.
func TestRefuseSendsConnectionRefused(t *testing.T) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	service := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	refuser, err := NewRefuser(func(_, caller, _ netip.AddrPort, datagram []byte) {
		_, _ = socket.WriteToUDPAddrPort(datagram, caller)
	})
	assert.NilError(t, err)
	go func() {
		buffer := make([]byte, 2048)
		for {
			length, caller, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			refuser.Refuse(service, caller, netip.AddrPort{}, buffer[:length])
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = quic.DialAddr(ctx, service.String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"any"}}, nil)
	var refusal *quic.TransportError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.ErrorCode, quic.ConnectionRefused)
	assert.Assert(t, refusal.Remote)
	refuser.Close()
}

func TestServiceFlowAndRetryLimits(t *testing.T) {
	limiter := NewLimiter(0)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 200 {
		if limiter.AllowFlow(now, 1, 100, 10) {
			allowed++
		}
	}
	assert.Equal(t, allowed, minBurst, "one of ten daemons admits a tenth")
	assert.Assert(t, limiter.AllowFlow(now.Add(time.Second), 1, 100, 10))
	retries := 0
	for range 200 {
		if limiter.AllowRetry(now, 1) {
			retries++
		}
	}
	assert.Equal(t, retries, retryBurst)
}
