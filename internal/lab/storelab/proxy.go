package storelab

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is the way in which a proxy treats connections.
type proxyMode int32

const (
	modeForward proxyMode = iota
	// modeRefuse resets open and new connections.
	modeRefuse
	// modeDrop accepts connections and drops all data.
	modeDrop
	// modeOneWay forwards calls and drops answers.
	modeOneWay
	// modeSlow delays each chunk of an answer by slowDelay.
	modeSlow
)

const (
	slowDelay        = 300 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

// proxy is a TCP proxy between one daemon and the store that injects faults.
type proxy struct {
	listener net.Listener
	store    netip.AddrPort
	mode     atomic.Int32

	mutex sync.Mutex
	open  map[*proxyConnection]bool
}

// proxyConnection is one connection through the proxy.
type proxyConnection struct {
	daemon, store net.Conn
	// isMute is set once the connection drops all data.
	isMute atomic.Bool
}

func startProxy(address, store netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, store: store, open: map[*proxyConnection]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(mode proxyMode) {
	p.mode.Store(int32(mode))
	if mode == modeRefuse {
		p.forEach((*proxyConnection).reset)
	}
}

// muteOpenConnections makes the open connections drop all data until they are closed; new ones work.
func (p *proxy) muteOpenConnections() {
	p.forEach(func(connection *proxyConnection) { connection.isMute.Store(true) })
}

func (p *proxy) forEach(do func(*proxyConnection)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		do(connection)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.forEach((*proxyConnection).reset)
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
	connection := &proxyConnection{daemon: daemon}
	if proxyMode(p.mode.Load()) == modeRefuse {
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
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.forward(connection, store, daemon, false)
	}()
	go func() {
		defer wg.Done()
		p.forward(connection, daemon, store, true)
	}()
	wg.Wait()
	p.mutex.Lock()
	delete(p.open, connection)
	p.mutex.Unlock()
}

// forward copies one direction until EOF or an error. Data that the fault drops is read and discarded.
func (p *proxy) forward(connection *proxyConnection, to io.Writer, from io.Reader, isAnswer bool) {
	defer connection.reset()
	buffer := make([]byte, proxyBufferBytes)
	for {
		length, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := proxyMode(p.mode.Load())
		if connection.isMute.Load() || mode == modeDrop || mode == modeOneWay && isAnswer {
			connection.isMute.Store(true) // the stream can't continue with a gap
			continue
		}
		if mode == modeSlow && isAnswer {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:length]); err != nil {
			return
		}
	}
}

// reset closes both ends with a TCP reset, which discards unsent data.
func (c *proxyConnection) reset() {
	for _, end := range []net.Conn{c.daemon, c.store} {
		if connection, ok := end.(*net.TCPConn); ok {
			_ = connection.SetLinger(0)
			_ = connection.Close()
		}
	}
}
