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

// Backend is one daemon behind the fabric.
type Backend struct {
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
	config   FabricConfig
	egress   *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn
	inward   *delayLine
	outward  *delayLine
	ready    atomic.Pointer[[]netip.AddrPort]

	mutex    sync.Mutex
	backends map[Backend]*backendHealth

	ctx     context.Context
	cancel  context.CancelFunc
	waiting sync.WaitGroup
	// Sprayed and Returned count datagrams to daemons and to callers.
	Sprayed  atomic.Uint64
	Returned atomic.Uint64
}

type backendHealth struct {
	failures int
	isReady  bool
}

const (
	fabricBuffer  = 8 << 20
	datagramSpace = 2048
	healthTimeout = 300 * time.Millisecond
)

// StartFabric opens the fabric's sockets and starts forwarding.
func StartFabric(config FabricConfig) (*Fabric, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fabric := &Fabric{
		config: config, services: map[netip.AddrPort]*net.UDPConn{}, backends: map[Backend]*backendHealth{},
		inward: newDelayLine(config.Delay), outward: newDelayLine(config.Delay), ctx: ctx, cancel: cancel,
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
		fabric.run(func() { fabric.readCallers(address, socket) })
	}
	fabric.run(fabric.readDaemons)
	fabric.run(fabric.watchHealth)
	return fabric, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	_ = socket.SetReadBuffer(fabricBuffer)
	_ = socket.SetWriteBuffer(fabricBuffer)
	return socket, nil
}

func (f *Fabric) run(task func()) {
	f.waiting.Add(1)
	go func() {
		defer f.waiting.Done()
		task()
	}()
}

// SetBackends replaces the set of daemons. New ones get no datagrams until a probe succeeds.
func (f *Fabric) SetBackends(backends []Backend) {
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
	f.publish()
}

// publish updates the ready daemons. The caller must hold the mutex.
func (f *Fabric) publish() {
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

func (f *Fabric) watchHealth() {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(f.config.HealthInterval)
	defer ticker.Stop()
	for {
		f.askAll(client)
		select {
		case <-ticker.C:
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fabric) askAll(client *http.Client) {
	f.mutex.Lock()
	var asked []Backend
	for backend := range f.backends {
		asked = append(asked, backend)
	}
	f.mutex.Unlock()
	var group sync.WaitGroup
	for _, backend := range asked {
		group.Add(1)
		go func() {
			defer group.Done()
			f.note(backend, isReady(f.ctx, client, backend.Health))
		}()
	}
	group.Wait()
	f.mutex.Lock()
	f.publish()
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

func (f *Fabric) note(backend Backend, ready bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	health := f.backends[backend]
	if health == nil {
		return
	}
	if ready {
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
	buffer := make([]byte, datagramSpace)
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
		datagram := append(encapsulation.Append(make([]byte, 0, encapsulation.MaximumSize+length), &header), buffer[:length]...)
		f.inward.put(func() { f.spray(datagram) })
	}
}

func (f *Fabric) spray(datagram []byte) {
	ready := *f.ready.Load()
	if len(ready) == 0 {
		return
	}
	f.Sprayed.Add(1)
	_, _ = f.egress.WriteToUDPAddrPort(datagram, ready[rand.IntN(len(ready))])
}

// readDaemons decapsulates replies and sends each to its caller, from the address of the service.
func (f *Fabric) readDaemons() {
	buffer := make([]byte, datagramSpace)
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
		f.outward.put(func() {
			f.Returned.Add(1)
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
	f.waiting.Wait()
	f.inward.close()
	f.outward.close()
}
