//go:build review

package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

// Third byte of the addresses 127.network.kind.host.
const (
	kindDaemon = 1 + iota
	kindTarget
	kindCaller
	kindStore
)

const (
	dataPort    = 9443
	controlPort = 8166
	readyPort   = 8167
	storePort   = 8169
	targetPort  = 8367
)

const (
	roster = "roster"
	ledger = "ledger"
)

var (
	rosterRoute = netip.MustParseAddrPort("198.18.0.1:8443")
	ledgerRoute = netip.MustParseAddrPort("198.18.0.2:8443")
)

// Zones of the daemons and of the targets, as in a small deployment.
var (
	daemonZones = []string{"salt-a", "salt-a", "salt-b", "salt-b", "salt-b", "newtown-c", "newtown-c"}
	targetZones = []string{"salt-a", "salt-b", "newtown-c"}
)

// site is a small deployment on loopback addresses.
type site struct {
	record    *record
	directory string
	network   byte
	store     *store
	daemons   []*daemon
	router    *router
	caller    *caller

	mutex      sync.Mutex
	identifier uint64
	version    uint64
}

func (s *site) address(kind byte, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, kind, byte(host)}), port)
}

// newSite starts everything but the targets. The second byte of the addresses is one that is free.
func newSite(binary string, record *record) (*site, error) {
	directory, err := os.MkdirTemp("", "passtray-review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, directory: directory, identifier: 0x10_0000_0000 + uint64(os.Getpid())}
	for offset := range 200 {
		s.network = byte(20 + (os.Getpid()*31+offset)%200)
		if s.store, err = startStore(s.address(kindStore, 1, storePort), record); err == nil {
			break
		}
	}
	if err != nil {
		return s, err
	}
	if err := s.startDaemons(binary); err != nil {
		return s, err
	}
	routerSocket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address(kindStore, 2, 0)))
	if err != nil {
		return s, err
	}
	s.router = &router{socket: routerSocket, daemons: s.daemons}
	go s.router.run()
	address := s.address(kindCaller, 1, dataPort)
	callerSocket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return s, err
	}
	s.caller = &caller{
		address: address.Addr(), socket: callerSocket, router: s.router, record: record,
		onReset: func(flowName, netip.Addr) {}, requests: &atomic.Uint64{}, flows: map[flowName]chan receivedPacket{},
	}
	return s, nil
}

func (s *site) startDaemons(binary string) error {
	var seeds []string
	for host := 1; host <= 3; host++ {
		seeds = append(seeds, s.address(kindDaemon, host, controlPort).String())
	}
	for index, zone := range daemonZones {
		host := index + 1
		ready := s.address(kindDaemon, host, readyPort)
		d := &daemon{
			name: fmt.Sprintf("front-%d", host), zone: zone, binary: binary,
			data: s.address(kindDaemon, host, dataPort), readyURL: "http://" + ready.String() + readyPath,
		}
		control, store := s.address(kindDaemon, host, controlPort), s.address(kindStore, 1, storePort)
		if err := d.writeSettings(s.directory, control.String(), strings.Join(seeds, ", "), ready.String(), store.String()); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	return nil
}

// putConfiguration writes the next version of the configuration. Versions differ in the idle time-out.
func (s *site) putConfiguration() {
	s.mutex.Lock()
	s.version += 3
	version := s.version
	s.mutex.Unlock()
	configuration := &storeview.Configuration{
		Version: version, IdleTimeout: 15*time.Second + time.Duration(version)*time.Millisecond,
		Services: []storeview.Service{{Name: roster, MaxFlows: 2000}, {Name: ledger, MaxFlows: 2000}},
	}
	for service, address := range map[string]netip.AddrPort{roster: rosterRoute, ledger: ledgerRoute} {
		configuration.Routes = append(configuration.Routes, storeview.Route{
			Name: "r-" + service, Address: address, Timeout: 2 * time.Second, Objective: 120 * time.Millisecond, Priority: 1,
			Backends: []storeview.Backend{{Service: service, Weight: 1000}},
		})
	}
	revision := s.store.Put(storeview.Entry{Key: platform.ConfigurationKey, Configuration: configuration})
	s.record.sayf("store: configuration version %d acknowledged, revision %d", version, revision)
}

// addTarget starts a new incarnation of a target at an address, which is cold for some time.
func (s *site) addTarget(service, zone string, address netip.AddrPort, cold time.Duration) (*target, error) {
	s.mutex.Lock()
	s.identifier += 0x1234567
	entry := storeview.Target{Identifier: s.identifier, Service: service, Address: address, Zone: zone, Slots: 2}
	s.mutex.Unlock()
	if os.Getenv("BORN") == "1" { // the field `born` of later pages
		entry.Incarnation = uint64(time.Now().UnixMilli())
	}
	return startTarget(entry, cold, dataPort, s.record, s.store)
}

// waitReady waits until all daemons are in.
func (s *site) waitReady() error {
	for range 200 {
		if s.router.countIn() == len(s.daemons) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("only %d of %d daemons became ready", s.router.countIn(), len(s.daemons))
}

func (s *site) isDaemon(address netip.Addr) bool { return address.As4()[2] == kindDaemon }

// close ends all processes.
func (s *site) close() {
	if s.caller != nil {
		s.caller.isStopped.Store(true)
	}
	for _, d := range s.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	}
}
