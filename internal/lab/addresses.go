package lab

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// addressPlan gives every part of a run its own loopback address, from a
// network that differs between runs on one machine.
type addressPlan struct {
	second byte
	third  byte
}

var runCounter atomic.Uint32

const (
	hostFabric      = 1
	hostDaemonFirst = 10
	hostTargetFirst = 200
	maximumDaemons  = hostTargetFirst - hostDaemonFirst

	portControl    = 7000
	portOperator   = 7001
	portTelemetry  = 7002
	portBackend    = 7003
	portFabric     = 7004
	portPlatform   = 8080
	portEgress     = 9000
	portService    = 4430
	portTargetBase = 5000
)

func newAddressPlan() addressPlan {
	mark := uint32(os.Getpid())*31 + runCounter.Add(1)
	return addressPlan{second: 64 + byte(mark%128), third: byte(mark / 128)}
}

func (p addressPlan) at(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.second, p.third, host}), port)
}

func (p addressPlan) daemon(number int, port uint16) netip.AddrPort {
	return p.at(byte(hostDaemonFirst+number), port)
}

func (p addressPlan) daemonIPs() []netip.Addr {
	var addresses []netip.Addr
	for number := range maximumDaemons {
		addresses = append(addresses, p.daemon(number, 0).Addr())
	}
	return addresses
}
