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
	// readyInterval is the interval of readiness probes; a daemon is taken out of rotation
	// after missesUntilOut consecutive failures.
	readyInterval  = 250 * time.Millisecond
	missesUntilOut = 2
)

// router distributes flows over the ready daemons by a hash of their address pair, as an ECMP
// router does.
type router struct {
	socket *net.UDPConn
	// daemons have a fixed order; the hash selects among those in rotation.
	daemons []routedDaemon

	mutex sync.Mutex
	in    []netip.AddrPort
	// held are the daemons that flows of forwardHeld are pinned to.
	held map[Flow]heldDaemon
	// lifeOf returns the number of the process at a data address, 0 if there is none.
	lifeOf func(data netip.AddrPort) int
}

// heldDaemon identifies a process of a daemon.
type heldDaemon struct {
	data netip.AddrPort
	life int
}

// routedDaemon is the router's state of a daemon.
type routedDaemon struct {
	data   netip.AddrPort
	ready  string
	misses int
}

// watch probes the daemons' readiness until ctx is done.
func (r *router) watch(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval}
	for index := range r.daemons {
		r.daemons[index].misses = missesUntilOut
	}
	for ctx.Err() == nil {
		var waiting sync.WaitGroup
		for index := range r.daemons {
			waiting.Add(1)
			go func(daemon *routedDaemon) {
				defer waiting.Done()
				daemon.misses++
				if isReady(ctx, client, daemon.ready) {
					daemon.misses = 0
				}
			}(&r.daemons[index])
		}
		waiting.Wait()
		r.deal()
		rest(ctx, readyInterval)
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

func (r *router) deal() {
	var in []netip.AddrPort
	for index := range r.daemons {
		if r.daemons[index].misses < missesUntilOut {
			in = append(in, r.daemons[index].data)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.in = in
}

// forward sends a caller's packet to the daemon that its flow's hash selects.
func (r *router) forward(flow Flow, datagram []byte) {
	if to := r.dealt(flow); to.IsValid() {
		_, _ = r.socket.WriteToUDPAddrPort(datagram, to) // treated as packet loss
	}
}

// forwardHeld sends all packets of a flow to the same daemon while its process runs, ready or not,
// as a client does that keeps its connections.
func (r *router) forwardHeld(flow Flow, datagram []byte) {
	r.mutex.Lock()
	held, isHeld := r.held[flow]
	r.mutex.Unlock()
	if !isHeld || r.lifeOf(held.data) != held.life {
		to := r.dealt(flow)
		if !to.IsValid() {
			return
		}
		held = heldDaemon{data: to, life: r.lifeOf(to)}
		r.mutex.Lock()
		r.held[flow] = held
		r.mutex.Unlock()
	}
	_, _ = r.socket.WriteToUDPAddrPort(datagram, held.data)
}

// dealt returns the daemon that a flow's hash selects, or an invalid address if none is in rotation.
func (r *router) dealt(flow Flow) netip.AddrPort {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(flow.Caller.String() + flow.Route.String()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.in) == 0 {
		return netip.AddrPort{}
	}
	return r.in[int(hash.Sum32())%len(r.in)]
}
