package node

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/passtray/passtray/internal/admission"
	"github.com/passtray/passtray/internal/encapsulation"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/ownership"
)

const (
	// probeInterval is how often each of a target's watchers requests its load report.
	probeInterval     = 3 * time.Second
	watchersPerTarget = 3
	// resendInterval is how often handovers are checked for a missing acknowledgement.
	resendInterval = 25 * time.Millisecond
)

// openData opens the data plane's sockets and starts their workers.
func (n *Node) openData() error {
	data := n.settings.Data
	n.plane = &dataPlane{
		self: data.Backend, fabricEgress: data.FabricEgress, fabricSources: n.fabricSources(),
		mode: n.options.Mode, limiter: admission.NewLimiter(data.NewFlowsPerSecond), counters: &dataCounters{},
		peers:    n.peers,
		caughtUp: &n.caughtUp,
		started:  time.Now(),
		udpIdle:  data.UDPIdle,
		pins:     ownership.NewTable(data.Pins, pinLifetime),
		udpFlows: ownership.NewFlowTable(data.UDPFlows, data.UDPIdle),
		direct:   map[netip.AddrPort]forwarding.Socket{},
	}
	n.plane.snapshot.Store(n.buildSnapshot())
	var err error
	if n.plane.refuser, err = admission.NewRefuser(n.plane.sendRefusal); err != nil {
		return err
	}
	backend, err := n.listen(data.Backend)
	if err != nil {
		return err
	}
	n.plane.backend = backend[0]
	fabric, err := n.listen(data.Fabric)
	if err != nil {
		return err
	}
	if len(fabric) > 0 {
		n.plane.egress = fabric[0]
	}
	direct := make([][]forwarding.Socket, len(n.settings.Direct))
	for index, entry := range n.settings.Direct {
		if direct[index], err = n.listen(entry.Listen); err != nil {
			return err
		}
		n.plane.direct[entry.Service] = direct[index][0]
	}
	n.Goroutines.Add(1)
	go n.resendHandovers(backend[0])
	n.startWorkers(backend, backendHandler{n.plane})
	n.startWorkers(fabric, fabricHandler{n.plane})
	for index, entry := range n.settings.Direct {
		n.startWorkers(direct[index], directHandler{dataPlane: n.plane, service: entry.Service})
	}
	return nil
}

// fabricSources defaults to the fabric address's own network: /24 or /64.
func (n *Node) fabricSources() []netip.Prefix {
	data := n.settings.Data
	if len(data.FabricSources) > 0 || !data.Fabric.IsValid() {
		return data.FabricSources
	}
	bits := 64
	if data.Fabric.Addr().Is4() {
		bits = 24
	}
	return []netip.Prefix{netip.PrefixFrom(data.Fabric.Addr(), bits).Masked()}
}

// listen opens one socket per worker on an address. It opens none if the address is unset.
func (n *Node) listen(address netip.AddrPort) ([]forwarding.Socket, error) {
	if !address.IsValid() {
		return nil, nil
	}
	var sockets []forwarding.Socket
	for range n.settings.Data.Workers {
		socket, err := forwarding.Listen(address, n.settings.Data.Workers > 1)
		if err != nil {
			return nil, err
		}
		if n.options.WrapSocket != nil {
			socket = n.options.WrapSocket(socket)
		}
		sockets = append(sockets, socket)
		n.sockets = append(n.sockets, socket)
	}
	return sockets, nil
}

func (n *Node) startWorkers(sockets []forwarding.Socket, handler forwarding.Handler) {
	for _, socket := range sockets {
		worker := forwarding.NewWorker(socket, handler, &n.plane.counters.Counters)
		worker.Context = newWorkerContext()
		n.workers.Start(worker)
	}
}

func (n *Node) closeData() {
	for _, socket := range n.sockets {
		_ = socket.Close()
	}
	n.workers.Close()
	if n.plane != nil && n.plane.refuser != nil {
		n.plane.refuser.Close()
	}
}

// probeTargets requests load reports, so that the state of targets without traffic is known as well. Each target
// is probed by at most watchersPerTarget daemons, selected by a hash of its name.
func (n *Node) probeTargets(now time.Time) {
	if now.Before(n.nextProbe) || n.Draining.Load() {
		return
	}
	n.nextProbe = now.Add(probeInterval)
	snapshot := n.plane.snapshot.Load()
	for _, target := range snapshot.Targets() {
		if snapshot.PollsTarget(target, watchersPerTarget) {
			n.plane.probe(snapshot, target)
		}
	}
}

// resendHandovers steers again the handovers that were not acknowledged in time: to the next owner, or to the same one
// if that has missed only a single acknowledgement.
func (n *Node) resendHandovers(backend forwarding.Socket) {
	defer n.Goroutines.Done()
	worker := forwarding.NewWorker(backend, backendHandler{n.plane}, &n.plane.counters.Counters)
	wctx := newWorkerContext()
	worker.Context = wctx
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.Context().Done():
			return
		case now := <-ticker.C:
			for _, handover := range n.peers.TakeUnacknowledged(now) {
				n.plane.counters.resent.Add(1)
				inbound := &forwarding.Inbound{Buffer: append(make([]byte, forwarding.Headroom), handover.Payload...)}
				wctx.header = encapsulation.Header{Caller: handover.Caller, Service: handover.Service, Ingress: handover.Ingress}
				n.plane.steer(worker, inbound, forwarding.Headroom, false)
				worker.Flush()
			}
		}
	}
}

// writeOne sends a single datagram from outside the workers. Errors are ignored, as the loss of a datagram is.
func writeOne(socket forwarding.Socket, to netip.AddrPort, datagram []byte) {
	message := ipv4.Message{Buffers: [][]byte{datagram}, Addr: net.UDPAddrFromAddrPort(to)}
	_, _ = socket.WriteBatch([]ipv4.Message{message}, 0)
}
