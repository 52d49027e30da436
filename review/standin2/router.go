//go:build review

package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router hands the packets of clients to the daemons that are in, chosen by a hash of the addresses
// and ports modulo their number.
type router struct {
	site   *site
	socket *net.UDPConn
	done   chan struct{}

	mutex sync.Mutex
	in    []netip.AddrPort
}

func startRouter(s *site) (*router, error) {
	socket, err := listenUDP(s.address(netStores, 201, 0))
	if err != nil {
		return nil, err
	}
	r := &router{site: s, socket: socket, done: make(chan struct{})}
	go r.probe()
	return r, nil
}

// probe asks each daemon twice a second whether it is ready; one that misses two is out.
func (r *router) probe() {
	client := &http.Client{Timeout: probeInterval}
	missed := make([]int, len(r.site.daemons))
	for index := range missed {
		missed[index] = probesToRemove
	}
	for {
		var wg sync.WaitGroup
		for index, d := range r.site.daemons {
			wg.Add(1)
			go func() {
				defer wg.Done()
				missed[index]++
				if isReady(client, d.telemetry) {
					missed[index] = 0
				}
			}()
		}
		wg.Wait()
		var in []netip.AddrPort
		for index, d := range r.site.daemons {
			if missed[index] < probesToRemove {
				in = append(in, d.data)
			}
		}
		r.mutex.Lock()
		r.in = in
		r.mutex.Unlock()
		select {
		case <-r.done:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (r *router) ready() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.in)
}

func (r *router) forward(caller, route netip.AddrPort, datagram []byte) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(caller.String() + route.String()))
	r.mutex.Lock()
	in := r.in
	r.mutex.Unlock()
	if len(in) > 0 {
		_, _ = r.socket.WriteToUDPAddrPort(datagram, in[int(hash.Sum32())%len(in)])
	}
}

func (r *router) close() {
	close(r.done)
	_ = r.socket.Close()
}
