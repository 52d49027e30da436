//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

// Bounds and figures of sites/setu-east.toml.
const (
	contactTime    = 4 * time.Second
	drainTime      = 3 * time.Second
	probeInterval  = 500 * time.Millisecond
	probesToRemove = 2

	portControl = 8166
	portReady   = 8167
	portData    = 8172
	portStore   = 8169
	portTarget  = 8080
)

const (
	netDaemons = 1 + iota
	netTargets
	netClients
	netStores
)

// zones has the zone of each machine.
var zones = []string{"salt-a", "salt-a", "salt-b", "salt-b", "salt-b", "newtown-c", "newtown-c"}

const (
	serviceRoster = "roster"
	serviceLedger = "ledger"
)

// The routes' addresses stand in packets only. They are outside of the networks that chooseNetwork takes.
var (
	routeRoster = netip.MustParseAddrPort("127.240.0.1:8080")
	routeLedger = netip.MustParseAddrPort("127.240.0.2:8443")
)

// site is a small deployment with stand-ins for all that is outside.
type site struct {
	record      *record
	binary      string
	directory   string
	networkByte byte
	store       *environment.Store
	daemons     []*daemon
	router      *router
	clients     []*client

	mutex sync.Mutex
	// targets are those that run, all those that ever ran.
	targets    map[uint64]*target
	all        []*target
	identifier uint64
	host       int
	version    uint64
	// resets are those that clients got from daemons.
	resets []reset
}

func newSite(binary, recordPath string) (*site, error) {
	notes, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: notes, binary: binary, directory: directory, store: environment.NewStore(),
		targets: map[uint64]*target{}, identifier: 0x1000000000,
	}
	for _, step := range []func() error{s.chooseNetwork, s.addTargets, s.addDaemons, s.addRouter, s.addClients, s.awaitReady} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// chooseNetwork chooses a second byte of the addresses that nothing else uses.
func (s *site) chooseNetwork() error {
	const lowest, count = 16, 200
	for offset := range count {
		s.networkByte = lowest + byte((os.Getpid()+offset)%count)
		front, err := startStoreFront(s.address(netStores, 200, portStore), s.store)
		if err == nil {
			front.close()
			return nil
		}
	}
	return errors.New("no free network on loopback")
}

func (s *site) address(network byte, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.networkByte, network, byte(host)}), port)
}

func (s *site) addDaemons() error {
	var seeds []string
	for _, index := range []int{0, 2, 5} { // one in each zone
		seeds = append(seeds, s.address(netDaemons, index+1, portControl).String())
	}
	for index, zone := range zones {
		front, err := startStoreFront(s.address(netStores, index+1, portStore), s.store)
		if err != nil {
			return err
		}
		d := &daemon{
			name: fmt.Sprintf("front-%s-%d", zone, index+1), zone: zone, front: front,
			control:   s.address(netDaemons, index+1, portControl),
			telemetry: s.address(netDaemons, index+1, portReady),
			data:      s.address(netDaemons, index+1, portData),
		}
		s.daemons = append(s.daemons, d)
		if err := d.writeSettings(s.directory, strings.Join(seeds, ", "), s.address(netStores, index+1, portStore)); err != nil {
			return err
		}
		if err := d.start(s.binary, s.directory); err != nil {
			return err
		}
	}
	return nil
}

// addTargets starts 14 targets of one service and 4 of the other, and writes the configuration.
func (s *site) addTargets() error {
	for service, count := range map[string]int{serviceRoster: 14, serviceLedger: 4} {
		for range count {
			if _, err := s.startTarget(service); err != nil {
				return err
			}
		}
	}
	s.version += 3
	configuration := &storeview.Configuration{
		Version: s.version, IdleTimeout: 15 * time.Second,
		Services: []storeview.Service{{Name: serviceRoster, MaxFlows: 2000}, {Name: serviceLedger, MaxFlows: 2000}},
		Routes: []storeview.Route{
			{Name: "attend-mark", Address: routeRoster, Timeout: 2 * time.Second, Objective: 120 * time.Millisecond, Priority: 1, Backends: []storeview.Backend{{Service: serviceRoster, Weight: 1000}}},
			{Name: "logbook-up", Address: routeLedger, Timeout: 8 * time.Second, Objective: 500 * time.Millisecond, Priority: 2, Backends: []storeview.Backend{{Service: serviceLedger, Weight: 1000}}},
		},
	}
	s.store.Put(storeview.Entry{Key: platform.ConfigurationKey, Configuration: configuration})
	s.record.note("store: configuration %d", s.version)
	return nil
}

// startTarget starts a target at a new address and writes its entry.
func (s *site) startTarget(service string) (*target, error) {
	s.mutex.Lock()
	s.identifier += 0x1234567
	s.host++
	identifier, address, zone := s.identifier, s.address(netTargets, s.host, portTarget), zones[s.host%len(zones)]
	s.mutex.Unlock()
	started, err := startTarget(identifier, service, zone, address, s)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.targets[identifier] = started
	s.all = append(s.all, started)
	s.mutex.Unlock()
	s.store.Put(storeview.Entry{Key: platform.TargetKey(identifier), Target: started.entry()})
	s.record.note("store: target %x of %s is ready at %s", identifier, service, address)
	return started, nil
}

// leaveSilently takes a target away that never says that it drains: its entry goes, it serves on for the
// drain time and a little longer, and ends. It returns when the store took the change.
func (s *site) leaveSilently(leaving *target) {
	s.store.Put(storeview.Entry{Key: platform.TargetKey(leaving.identifier)})
	at := time.Now()
	leaving.leave(at)
	s.record.note("store: entry of target %x goes", leaving.identifier)
	time.AfterFunc(drainTime+endMargin, func() {
		leaving.end()
		s.mutex.Lock()
		delete(s.targets, leaving.identifier)
		s.mutex.Unlock()
	})
}

// pickTargets returns targets of a service that are not leaving.
func (s *site) pickTargets(service string, count int) []*target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var picked []*target
	for _, t := range s.targets {
		if t.service == service && !t.isLeaving() && len(picked) < count {
			picked = append(picked, t)
		}
	}
	return picked
}

// reader returns the daemon that reads the store for the others: the one whose waiting watch was answered
// last.
func (s *site) reader() *daemon {
	var reader *daemon
	for _, d := range s.daemons {
		if reader == nil || d.front.lastWaitingWatch().After(reader.front.lastWaitingWatch()) {
			reader = d
		}
	}
	return reader
}

// daemonAt returns the daemon that sends from an address.
func (s *site) daemonAt(from netip.AddrPort) *daemon {
	for _, d := range s.daemons {
		if d.data == from {
			return d
		}
	}
	return nil
}

func (s *site) addRouter() error {
	var err error
	s.router, err = startRouter(s)
	return err
}

// awaitReady waits until all daemons are ready and in touch.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for s.router.ready() < len(s.daemons) {
		if time.Now().After(deadline) {
			return errors.New("the daemons are not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(contactTime)
	return nil
}

func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
		d.front.close()
	}
	if s.router != nil {
		s.router.close()
	}
	for _, c := range s.clients {
		_ = c.socket.Close()
	}
	s.mutex.Lock()
	for _, t := range s.targets {
		t.closeSockets()
	}
	s.mutex.Unlock()
	s.record.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.directory)
	} else {
		fmt.Println("logs:", s.directory)
	}
}

// isReady asks a daemon whether it is ready, as the routers do.
func isReady(client *http.Client, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address.String()+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// receive calls handle with each datagram until the socket is closed.
func receive(socket *net.UDPConn, handle func(from netip.AddrPort, datagram []byte)) {
	buffer := make([]byte, 2048)
	for {
		length, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), buffer[:length]...))
		}
	}
}
