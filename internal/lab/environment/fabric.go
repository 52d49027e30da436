package environment

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/encapsulation"
)

// FabricDaemon is one daemon behind the fabric.
type FabricDaemon struct {
	// Fabric is the address that datagrams are sent to, Health the daemon's telemetry address.
	Fabric netip.AddrPort
	Health netip.AddrPort
}

type FabricConfig struct {
	// Services are the addresses that callers send to.
	Services []netip.AddrPort
	// Egress is the address that daemons send replies to.
	Egress netip.AddrPort
	// Delay is the one-way latency between callers and daemons.
	Delay time.Duration
	// HealthInterval is the interval of readiness probes, HealthFailures the number of
	// consecutive failures after which a daemon gets no more datagrams.
	HealthInterval time.Duration
	HealthFailures int
}

// Fabric sends each datagram to a random daemon among those whose probes succeed.
type Fabric struct {
	config    FabricConfig
	egress    *net.UDPConn
	services  map[netip.AddrPort]*net.UDPConn
	toDaemons *delayLine
	toCallers *delayLine
	ready     atomic.Pointer[[]netip.AddrPort]

	mutex    sync.Mutex
	backends map[FabricDaemon]*backendHealth

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// SentToDaemons counts datagrams to daemons.
	SentToDaemons atomic.Uint64
	// SentToCallers counts datagrams to callers.
	SentToCallers atomic.Uint64
}

type backendHealth struct {
	failures int
	isReady  bool
}

const (
	socketBufferBytes = 8 << 20
	datagramBytes     = 2048
	healthTimeout     = 300 * time.Millisecond
)

// StartFabric opens the fabric's sockets and starts forwarding.
func StartFabric(config FabricConfig) (*Fabric, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fabric := &Fabric{
		config: config, services: map[netip.AddrPort]*net.UDPConn{}, backends: map[FabricDaemon]*backendHealth{},
		toDaemons: newDelayLine(config.Delay), toCallers: newDelayLine(config.Delay), ctx: ctx, cancel: cancel,
	}
	fabric.ready.Store(&[]netip.AddrPort{})
	var err error
	if fabric.egress, err = listenUDP(config.Egress); err != nil {
		fabric.Close()
		return nil, err
	}
	for _, address := range config.Services {
		socket, err := listenUDP(address)
		if err != nil {
			fabric.Close()
			return nil, err
		}
		fabric.services[address] = socket
	}
	for address, socket := range fabric.services {
		fabric.spawn(func() { fabric.readCallers(address, socket) })
	}
	fabric.spawn(fabric.readDaemons)
	fabric.spawn(fabric.probeLoop)
	return fabric, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

func (f *Fabric) spawn(task func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		task()
	}()
}

// SetDaemons replaces the set of daemons. New ones get no datagrams until a probe succeeds.
func (f *Fabric) SetDaemons(backends []FabricDaemon) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for backend := range f.backends {
		if !slices.Contains(backends, backend) {
			delete(f.backends, backend)
		}
	}
	for _, backend := range backends {
		if f.backends[backend] == nil {
			f.backends[backend] = &backendHealth{failures: f.config.HealthFailures}
		}
	}
	f.updateReady()
}

// updateReady recomputes the addresses of ready daemons. The caller must hold the mutex.
func (f *Fabric) updateReady() {
	var ready []netip.AddrPort
	for backend, health := range f.backends {
		if health.isReady {
			ready = append(ready, backend.Fabric)
		}
	}
	f.ready.Store(&ready)
}

// ReadyCount returns the number of daemons that currently get datagrams.
func (f *Fabric) ReadyCount() int { return len(*f.ready.Load()) }

func (f *Fabric) probeLoop() {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(f.config.HealthInterval)
	defer ticker.Stop()
	for {
		f.probeAll(client)
		select {
		case <-ticker.C:
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fabric) probeAll(client *http.Client) {
	f.mutex.Lock()
	var probed []FabricDaemon
	for backend := range f.backends {
		probed = append(probed, backend)
	}
	f.mutex.Unlock()
	var wg sync.WaitGroup
	for _, backend := range probed {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.recordProbe(backend, isReady(f.ctx, client, backend.Health))
		}()
	}
	wg.Wait()
	f.mutex.Lock()
	f.updateReady()
	f.mutex.Unlock()
}

func isReady(ctx context.Context, client *http.Client, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/readyz", nil)
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

func (f *Fabric) recordProbe(backend FabricDaemon, succeeded bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	health := f.backends[backend]
	if health == nil {
		return
	}
	if succeeded {
		health.failures = 0
		health.isReady = true
		return
	}
	health.failures++
	if health.failures >= f.config.HealthFailures {
		health.isReady = false
	}
}

// readCallers encapsulates and forwards the datagrams that callers send to one service.
func (f *Fabric) readCallers(service netip.AddrPort, socket *net.UDPConn) {
	buffer := make([]byte, datagramBytes)
	for {
		length, from, err := socket.ReadFromUDPAddrPort(buffer)
		if f.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		caller := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		header := encapsulation.Header{Kind: encapsulation.KindFabric, Caller: caller, Service: service}
		datagram := append(encapsulation.Append(make([]byte, 0, encapsulation.MaxSize+length), &header), buffer[:length]...)
		f.toDaemons.schedule(func() { f.spray(datagram) })
	}
}

func (f *Fabric) spray(datagram []byte) {
	ready := *f.ready.Load()
	if len(ready) == 0 {
		return
	}
	f.SentToDaemons.Add(1)
	_, _ = f.egress.WriteToUDPAddrPort(datagram, ready[rand.IntN(len(ready))])
}

// readDaemons decapsulates replies and sends each to its caller, from the address of the service.
func (f *Fabric) readDaemons() {
	buffer := make([]byte, datagramBytes)
	var header encapsulation.Header
	for {
		length, _, err := f.egress.ReadFromUDPAddrPort(buffer)
		if f.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		offset, err := encapsulation.Parse(buffer[:length], &header)
		if err != nil || header.Kind != encapsulation.KindFabric {
			continue
		}
		socket := f.services[header.Service]
		if socket == nil {
			continue
		}
		payload := append([]byte(nil), buffer[offset:length]...)
		caller := header.Caller
		f.toCallers.schedule(func() {
			f.SentToCallers.Add(1)
			_, _ = socket.WriteToUDPAddrPort(payload, caller)
		})
	}
}

func (f *Fabric) Close() {
	f.cancel()
	if f.egress != nil {
		_ = f.egress.Close()
	}
	for _, socket := range f.services {
		_ = socket.Close()
	}
	f.wg.Wait()
	f.toDaemons.close()
	f.toCallers.close()
}
