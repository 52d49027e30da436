//go:build review

package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// router hands the packets of a flow to a ready daemon by a hash of its addresses. A daemon that misses
// two checks is out until it is ready again.
type router struct {
	socket  *net.UDPConn
	daemons []*daemon

	mutex sync.Mutex
	in    []*daemon
}

const checkInterval = 500 * time.Millisecond

func (r *router) run() {
	client := &http.Client{Timeout: checkInterval}
	missed := map[*daemon]int{}
	for _, d := range r.daemons {
		missed[d] = 2
	}
	for {
		var in []*daemon
		for _, d := range r.daemons {
			missed[d]++
			if d.isReady(client) {
				missed[d] = 0
			}
			if missed[d] < 2 {
				in = append(in, d)
			}
		}
		r.mutex.Lock()
		r.in = in
		r.mutex.Unlock()
		time.Sleep(checkInterval)
	}
}

func (r *router) countIn() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.in)
}

// forward sends a packet of a flow to its daemon.
func (r *router) forward(flow flowName, datagram []byte) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(flow.caller.String() + flow.route.String()))
	r.mutex.Lock()
	in := r.in
	r.mutex.Unlock()
	if len(in) == 0 {
		return
	}
	chosen := in[int(hash.Sum32()%uint32(len(in)))]
	_, _ = r.socket.WriteToUDPAddrPort(datagram, chosen.data) // a lost packet is sent again
}
