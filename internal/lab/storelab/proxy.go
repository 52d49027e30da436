package storelab

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// pathState is the way in which a proxy treats connections.
type pathState int32

const (
	pathWell pathState = iota
	// pathRefusing resets open and new connections.
	pathRefusing
	// pathSilent accepts connections and drops all data.
	pathSilent
	// pathOneWay forwards requests and drops responses.
	pathOneWay
	// pathSlow delays each chunk of a response by slowPathDelay.
	pathSlow
)

const (
	slowPathDelay = 300 * time.Millisecond
	proxyBuffer   = 16 << 10
)

// proxy is a TCP proxy between one daemon and the store that injects faults.
type proxy struct {
	listener net.Listener
	store    netip.AddrPort
	state    atomic.Int32

	mutex sync.Mutex
	open  map[*proxied]bool
}

// proxied is one connection through the proxy.
type proxied struct {
	daemon, store net.Conn
	// isMute is set once the connection drops all data.
	isMute atomic.Bool
}

func startProxy(address, store netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	started := &proxy{listener: listener, store: store, open: map[*proxied]bool{}}
	go started.accept()
	return started, nil
}

func (p *proxy) set(state pathState) {
	p.state.Store(int32(state))
	if state == pathRefusing {
		p.each((*proxied).reset)
	}
}

// muteOpen makes the open connections drop all data until they are closed; new ones work.
func (p *proxy) muteOpen() { p.each(func(connection *proxied) { connection.isMute.Store(true) }) }

func (p *proxy) each(do func(*proxied)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		do(connection)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.each((*proxied).reset)
}

func (p *proxy) accept() {
	for {
		daemon, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(daemon)
	}
}

func (p *proxy) serve(daemon net.Conn) {
	connection := &proxied{daemon: daemon}
	if pathState(p.state.Load()) == pathRefusing {
		connection.reset()
		return
	}
	store, err := net.Dial("tcp4", p.store.String())
	if err != nil {
		connection.reset()
		return
	}
	connection.store = store
	p.mutex.Lock()
	p.open[connection] = true
	p.mutex.Unlock()
	var waiting sync.WaitGroup
	waiting.Add(2)
	go func() {
		defer waiting.Done()
		p.pass(connection, store, daemon, false)
	}()
	go func() {
		defer waiting.Done()
		p.pass(connection, daemon, store, true)
	}()
	waiting.Wait()
	p.mutex.Lock()
	delete(p.open, connection)
	p.mutex.Unlock()
}

// pass copies one direction until EOF or an error. Data that the fault drops is read and discarded.
func (p *proxy) pass(connection *proxied, to io.Writer, from io.Reader, isAnswer bool) {
	defer connection.reset()
	buffer := make([]byte, proxyBuffer)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			return
		}
		state := pathState(p.state.Load())
		if connection.isMute.Load() || state == pathSilent || state == pathOneWay && isAnswer {
			connection.isMute.Store(true) // the stream can't continue with a gap
			continue
		}
		if state == pathSlow && isAnswer {
			time.Sleep(slowPathDelay)
		}
		if _, err := to.Write(buffer[:length]); err != nil {
			return
		}
	}
}

// reset closes both ends with a TCP reset, which discards unsent data.
func (c *proxied) reset() {
	for _, end := range []net.Conn{c.daemon, c.store} {
		if connection, ok := end.(*net.TCPConn); ok {
			_ = connection.SetLinger(0)
			_ = connection.Close()
		}
	}
}
