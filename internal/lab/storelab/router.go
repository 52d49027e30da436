package storelab

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// probeInterval is the interval of readiness probes; a daemon is taken out of rotation
	// after failureThreshold consecutive failures.
	probeInterval    = 250 * time.Millisecond
	failureThreshold = 2
)

// router distributes flows over the ready daemons by a hash of their address pair, as an ECMP
// router does.
type router struct {
	socket *net.UDPConn
	// daemons have a fixed order; the hash selects among those in rotation.
	daemons []routerDaemon

	mutex      sync.Mutex
	inRotation []netip.AddrPort
	// pinned holds the processes to which forwardPinned sends open flows.
	pinned map[Flow]daemonProcess
	// processAt returns the number of the process at a data address, 0 if there is none.
	processAt func(data netip.AddrPort) int
}

// daemonProcess identifies a process of a daemon.
type daemonProcess struct {
	data   netip.AddrPort
	number int
}

// routerDaemon is the router's state of a daemon.
type routerDaemon struct {
	data     netip.AddrPort
	readyURL string
	failures int
}

// probe checks the daemons' readiness every probeInterval until ctx is done.
func (r *router) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	for index := range r.daemons {
		r.daemons[index].failures = failureThreshold
	}
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for index := range r.daemons {
			wg.Add(1)
			go func(daemon *routerDaemon) {
				defer wg.Done()
				daemon.failures++
				if isReady(ctx, client, daemon.readyURL) {
					daemon.failures = 0
				}
			}(&r.daemons[index])
		}
		wg.Wait()
		r.updateRotation()
		sleep(ctx, probeInterval)
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

func (r *router) updateRotation() {
	var inRotation []netip.AddrPort
	for index := range r.daemons {
		if r.daemons[index].failures < failureThreshold {
			inRotation = append(inRotation, r.daemons[index].data)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inRotation = inRotation
}

// forward sends a caller's packet to the daemon that its flow's hash selects.
func (r *router) forward(flow Flow, datagram []byte) {
	if to := r.selectDaemon(flow); to.IsValid() {
		_, _ = r.socket.WriteToUDPAddrPort(datagram, to) // treated as packet loss
	}
}

// forwardPinned sends all packets of a flow to the same daemon while its process runs, ready or not,
// as a caller does that keeps its connections.
func (r *router) forwardPinned(flow Flow, datagram []byte) {
	r.mutex.Lock()
	pinned, isPinned := r.pinned[flow]
	r.mutex.Unlock()
	if !isPinned || r.processAt(pinned.data) != pinned.number {
		to := r.selectDaemon(flow)
		if !to.IsValid() {
			return
		}
		pinned = daemonProcess{data: to, number: r.processAt(to)}
		r.mutex.Lock()
		r.pinned[flow] = pinned
		r.mutex.Unlock()
	}
	_, _ = r.socket.WriteToUDPAddrPort(datagram, pinned.data)
}

// selectDaemon returns the daemon that a flow's hash selects, or an invalid address if none is in
// rotation.
func (r *router) selectDaemon(flow Flow) netip.AddrPort {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(flow.Caller.String() + flow.Route.String()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.inRotation) == 0 {
		return netip.AddrPort{}
	}
	return r.inRotation[int(hash.Sum32())%len(r.inRotation)]
}
