package storelab

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/internal/webserver"
	"github.com/passtray/passtray/platform"
)

// Ports and networks (third byte) of a run's addresses on loopback, 127.networkByte.network.host.
// The second byte differs between concurrent runs.
const (
	portControl   = 7000
	portTelemetry = 7002
	portData      = 9443
	portStore     = 8080

	netDaemons = 1
	netTargets = 2
	netCallers = 3
	netProxies = 4
	netStore   = 5
)

const (
	serviceFeeds = "feeds"
	serviceForms = "forms"
	serviceOther = "other"
)

var (
	routeFeeds = netip.MustParseAddrPort("198.18.0.1:443")
	routeForms = netip.MustParseAddrPort("198.18.0.2:443")
	routeExtra = netip.MustParseAddrPort("198.18.0.3:443")
)

// drainMargin is how long a draining target runs after it must get no more new flows.
const drainMargin = time.Second

// site holds the daemons and the simulated environment of one run.
type site struct {
	config      Config
	networkByte byte
	recorder    *Recorder
	store       *environment.Store
	server      *webserver.Server
	daemons     []*daemon
	router      *router
	callers     []*caller

	// restoreMutex is held from a restore of the store until the lost entries are written again.
	restoreMutex sync.Mutex

	mutex       sync.Mutex
	routes      map[netip.AddrPort]string
	lastVersion uint64
	targets     map[uint64]*target
	// identifier and host are the last ones assigned to a target.
	identifier  uint64
	host        int
	lastRequest atomic.Uint64
}

func newSite(config Config, directory string) (*site, error) {
	s := &site{
		config: config, recorder: NewRecorder(),
		store: environment.NewStore(), routes: map[netip.AddrPort]string{}, targets: map[uint64]*target{},
		identifier: 0x1000000000,
	}
	listener, err := s.listenOnFreeNetwork()
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	s.server = webserver.Serve(listener, platform.Handler(s.store), requestTimeout)
	if config.Series > 0 {
		s.store.Restore(time.Now()) // daemons start with an epoch above 0
	}
	for _, step := range []func() error{
		func() error { return s.addDaemons(directory) }, s.addRouter, s.addCallers, s.addTargets,
	} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

const (
	// minNetwork is the lowest second byte of a run's addresses, networkCount the number of choices.
	minNetwork   = 16
	networkCount = 200
)

// listenOnFreeNetwork chooses a second byte that no other run uses by listening at the store's
// address.
func (s *site) listenOnFreeNetwork() (listener net.Listener, err error) {
	first := uint64(os.Getpid())*31 + s.config.Seed
	for offset := range uint64(networkCount) {
		s.networkByte = minNetwork + byte((first+offset)%networkCount)
		listener, err = net.Listen("tcp4", s.addr(netStore, 1, portStore).String())
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}

func (s *site) addr(network byte, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.networkByte, network, byte(host)}), port)
}

func (s *site) zone(index int) string { return fmt.Sprint("zone-", index%s.config.Zones) }

func (s *site) addDaemons(directory string) error {
	for index := range s.config.Daemons {
		storeProxy, err := startProxy(s.addr(netProxies, index+1, portStore), s.addr(netStore, 1, portStore))
		if err != nil {
			return eris.Wrap(err, "proxy")
		}
		settings := &daemonConfig{
			name: fmt.Sprint("daemon-", index), zone: s.zone(index), bounds: s.config.Bounds,
			control: s.addr(netDaemons, index+1, portControl), telemetry: s.addr(netDaemons, index+1, portTelemetry),
			data: s.addr(netDaemons, index+1, portData), store: s.addr(netProxies, index+1, portStore),
		}
		for seed := range min(3, s.config.Daemons) {
			settings.seeds = append(settings.seeds, s.addr(netDaemons, seed+1, portControl))
		}
		d, err := newDaemon(s.config.Binary, directory, settings, storeProxy)
		if err != nil {
			return eris.Wrap(err, settings.name)
		}
		d.onUnexpectedExit = s.handleUnexpectedExit
		if err := d.start(); err != nil {
			return eris.Wrap(err, settings.name)
		}
		s.daemons = append(s.daemons, d)
	}
	return nil
}

func (s *site) addRouter() error {
	socket, err := listenUDP(s.addr(netStore, 2, 0))
	if err != nil {
		return eris.Wrap(err, "router")
	}
	s.router = &router{socket: socket, pinned: map[Flow]daemonProcess{}, processAt: s.processAt}
	for index := range s.daemons {
		readyURL := "http://" + s.addr(netDaemons, index+1, portTelemetry).String() + readyPath
		s.router.daemons = append(s.router.daemons, routerDaemon{data: s.addr(netDaemons, index+1, portData), readyURL: readyURL})
	}
	return nil
}

// processAt returns the number of the process at a data address, 0 if there is none.
func (s *site) processAt(data netip.AddrPort) int {
	host := int(data.Addr().As4()[3])
	return s.daemons[host-1].currentProcess()
}

// handleUnexpectedExit records an unexpected exit of a daemon and restarts it, as a service manager
// does.
func (s *site) handleUnexpectedExit(d *daemon, state string) {
	s.recorder.Record(Event{Kind: DaemonExited, Detail: fmt.Sprintf("%s exited unexpectedly: %s", d.name, state)})
	time.AfterFunc(restartDelay, func() { s.startDaemon(d) })
}

func (s *site) addCallers() error {
	daemons := s.addr(netDaemons, 0, 0).Addr().As4()
	for index := range s.config.Callers {
		address := s.addr(netCallers, index+1, portData)
		socket, err := listenUDP(address)
		if err != nil {
			return eris.Wrap(err, "caller")
		}
		c := &caller{
			socket: socket, address: address.Addr(), recorder: s.recorder, lastRequest: &s.lastRequest,
			isDaemon: func(from netip.AddrPort) bool { four := from.Addr().As4(); return four[2] == daemons[2] },
			forward:  s.router.forward, flows: map[Flow]chan received{},
		}
		if index%2 == 1 {
			c.forward = s.router.forwardPinned
		}
		go c.receive()
		s.callers = append(s.callers, c)
	}
	return nil
}

func (s *site) addTargets() error {
	for _, service := range []string{serviceFeeds, serviceForms, serviceOther} {
		for range s.config.Targets {
			if _, err := s.addTarget(service); err != nil {
				return err
			}
		}
	}
	s.putConfiguration(map[netip.AddrPort]string{routeFeeds: serviceFeeds, routeForms: serviceForms, routeExtra: serviceOther})
	return nil
}

// addTarget starts a target at a new address.
func (s *site) addTarget(service string) (*target, error) {
	s.host++
	return s.addTargetAt(service, s.addr(netTargets, s.host, 5000))
}

func (s *site) addTargetAt(service string, address netip.AddrPort) (*target, error) {
	started, err := s.startUnlisted(service, address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets[started.identifier] = started
	s.putTarget(started, false)
	return started, nil
}

// startUnlisted starts a target that the store does not know yet.
func (s *site) startUnlisted(service string, address netip.AddrPort) (*target, error) {
	s.mutex.Lock()
	s.identifier += 0x1234567
	identifier := s.identifier
	s.mutex.Unlock()
	started, err := startTarget(identifier, service, address, portData, s.recorder)
	return started, eris.Wrap(err, "target")
}

// putTarget writes a target's entry. The caller must hold the mutex.
func (s *site) putTarget(t *target, isDraining bool) {
	t.isDraining = isDraining
	s.store.Put(s.entryOf(t, isDraining))
}

// putConfiguration writes a new configuration to the store and records the changed routes.
func (s *site) putConfiguration(routes map[netip.AddrPort]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastVersion += 3
	configuration := &storeview.Configuration{Version: s.lastVersion, IdleTimeout: time.Minute}
	for _, address := range slices.SortedFunc(maps.Keys(routes), netip.AddrPort.Compare) {
		configuration.Routes = append(configuration.Routes, storeview.Route{
			Name: address.String(), Address: address, Timeout: requestTimeout, Objective: requestTimeout / 4,
			Backends: []storeview.Backend{{Service: routes[address], Weight: 1000}},
		})
		if s.routes[address] != routes[address] {
			s.recorder.Record(Event{Kind: RouteAllowed, Flow: Flow{Route: address}, Service: routes[address]})
		}
	}
	for _, service := range []string{serviceFeeds, serviceForms, serviceOther} {
		configuration.Services = append(configuration.Services, storeview.Service{Name: service, MaxFlows: 2000})
	}
	s.store.Put(storeview.Entry{Key: platform.ConfigurationKey, Configuration: configuration})
	for address, service := range s.routes {
		if routes[address] != service {
			s.recorder.Record(Event{Kind: RouteForbidden, Flow: Flow{Route: address}, Service: service})
		}
	}
	s.routes = routes
}

// routesWith returns a copy of the routes with one of them changed; an empty service removes it.
func (s *site) routesWith(route netip.AddrPort, service string) map[netip.AddrPort]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	routes := maps.Clone(s.routes)
	routes[route] = service
	if service == "" {
		delete(routes, route)
	}
	return routes
}

// drain marks a target as draining and ends it drainMargin after it must get no more new flows.
func (s *site) drain(leaving *target) {
	s.mutex.Lock()
	s.putTarget(leaving, true)
	s.mutex.Unlock()
	s.recorder.Record(Event{Kind: TargetDraining, Target: leaving.identifier})
	time.AfterFunc(s.config.Bounds.Drain+drainMargin, func() { s.end(leaving) })
}

// crash ends a target at once; its entry expires after entryLifetime.
func (s *site) crash(crashed *target) {
	crashed.end()
	time.AfterFunc(entryLifetime, func() { s.removeTarget(crashed) })
}

func (s *site) end(ended *target) {
	ended.end()
	s.removeTarget(ended)
}

func (s *site) removeTarget(removed *target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.targets, removed.identifier)
	s.store.Put(storeview.Entry{Key: platform.TargetKey(removed.identifier)})
	s.recorder.Record(Event{Kind: TargetDraining, Target: removed.identifier})
}

func (s *site) close() {
	for _, running := range s.daemons {
		running.close()
	}
	if s.router != nil {
		_ = s.router.socket.Close()
	}
	for _, c := range s.callers {
		_ = c.socket.Close()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, running := range s.targets {
		_ = running.socket.Close()
		_ = running.listener.Close()
	}
	s.server.Close()
}
