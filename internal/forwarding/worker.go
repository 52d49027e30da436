package forwarding

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/passtray/passtray/internal/monotonic"
)

const (
	// BatchSize is the maximum number of datagrams per system call.
	BatchSize = 64
	// Headroom is the free space, in bytes, before each datagram read, for a longer header.
	Headroom = 384
	// MaxDatagramSize is the size of the read buffer in bytes; datagrams that fill it are dropped. It
	// exceeds an Ethernet frame with an encapsulation header.
	MaxDatagramSize = 2048

	retryAfterError = time.Millisecond
)

// Inbound is a received datagram.
type Inbound struct {
	// Source is the sender's address.
	Source netip.AddrPort
	// Buffer holds Headroom free bytes followed by the datagram. It is reused by the worker's next read.
	Buffer []byte
}

// Datagram returns the datagram without the headroom.
func (i *Inbound) Datagram() []byte { return i.Buffer[Headroom:] }

// Handler processes one datagram and sends any results with Worker.Send.
type Handler interface {
	Handle(worker *Worker, inbound *Inbound)
}

// Counters count datagrams and are shared by all workers of a daemon.
type Counters struct {
	Received  atomic.Uint64
	Sent      atomic.Uint64
	SendError atomic.Uint64
	Oversized atomic.Uint64
	// LastReceived is the arrival time of the last batch, in nanoseconds of package monotonic.
	LastReceived atomic.Int64
}

// Worker reads one socket and owns the buffers for it. It must be used by a single goroutine.
type Worker struct {
	socket   Socket
	handler  Handler
	counters *Counters
	incoming []ipv4.Message
	// buffers hold the datagrams of incoming, each with its headroom in front.
	buffers  [][]byte
	outgoing []*outgoingBatch
	// Context is the handler's per-worker state.
	Context any
}

// outgoingBatch queues datagrams for one socket. Addresses are stored in place, so that sending does not allocate.
type outgoingBatch struct {
	socket    Socket
	messages  []ipv4.Message
	addresses []net.UDPAddr
	ips       [][net.IPv6len]byte
	count     int
}

// NewWorker returns a worker that reads socket once Run is called.
func NewWorker(socket Socket, handler Handler, counters *Counters) *Worker {
	worker := &Worker{socket: socket, handler: handler, counters: counters}
	worker.incoming = make([]ipv4.Message, BatchSize)
	worker.buffers = make([][]byte, BatchSize)
	for index := range worker.incoming {
		worker.buffers[index] = make([]byte, Headroom+MaxDatagramSize)
		worker.incoming[index].Buffers = [][]byte{worker.buffers[index][Headroom:]}
	}
	return worker
}

// Send queues a datagram, which is written before the next read. The bytes must not change until then; the inbound
// buffer may be used.
func (w *Worker) Send(socket Socket, to netip.AddrPort, datagram []byte) {
	batch := w.batchFor(socket)
	if batch.count == BatchSize {
		w.flush(batch)
	}
	index := batch.count
	batch.count++
	batch.messages[index].Buffers[0] = datagram
	address := &batch.addresses[index]
	if ip := to.Addr(); ip.Is4() {
		ip4 := ip.As4()
		address.IP = append(batch.ips[index][:0], ip4[:]...)
	} else {
		batch.ips[index] = ip.As16()
		address.IP = batch.ips[index][:]
	}
	address.Port = int(to.Port())
}

func (w *Worker) batchFor(socket Socket) *outgoingBatch {
	for _, batch := range w.outgoing {
		if batch.socket == socket {
			return batch
		}
	}
	batch := &outgoingBatch{
		socket:    socket,
		messages:  make([]ipv4.Message, BatchSize),
		addresses: make([]net.UDPAddr, BatchSize),
		ips:       make([][net.IPv6len]byte, BatchSize),
	}
	for index := range batch.messages {
		batch.messages[index].Buffers = make([][]byte, 1)
		batch.messages[index].Addr = &batch.addresses[index]
	}
	w.outgoing = append(w.outgoing, batch)
	return batch
}

func (w *Worker) flush(batch *outgoingBatch) {
	pending := batch.messages[:batch.count]
	batch.count = 0
	for len(pending) > 0 {
		sent, err := batch.socket.WriteBatch(pending, 0)
		if err != nil {
			// The error concerns the first datagram, for example one sent to a closed port. It is dropped, and
			// the rest of the batch is sent.
			w.counters.SendError.Add(1)
			sent = 1
		} else {
			w.counters.Sent.Add(uint64(sent))
		}
		pending = pending[min(max(sent, 1), len(pending)):]
	}
}

// Flush writes all queued datagrams.
func (w *Worker) Flush() {
	for _, batch := range w.outgoing {
		if batch.count > 0 {
			w.flush(batch)
		}
	}
}

// Run processes datagrams until the socket is closed.
func (w *Worker) Run() {
	var inbound Inbound
	for {
		count, err := w.socket.ReadBatch(w.incoming, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryAfterError)
			continue
		}
		w.counters.Received.Add(uint64(count))
		w.counters.LastReceived.Store(monotonic.Nanoseconds(time.Now()))
		for index := range count {
			w.handleOne(index, &inbound)
		}
		w.Flush()
	}
}

func (w *Worker) handleOne(index int, inbound *Inbound) {
	message := &w.incoming[index]
	if message.N >= MaxDatagramSize {
		w.counters.Oversized.Add(1)
		return
	}
	inbound.Source = AddressOf(message.Addr)
	inbound.Buffer = w.buffers[index][:Headroom+message.N]
	w.handler.Handle(w, inbound)
}

// Group runs workers and stops them together.
type Group struct {
	running sync.WaitGroup
	sockets []Socket
}

// Start runs a worker in a new goroutine until Close.
func (g *Group) Start(worker *Worker) {
	g.sockets = append(g.sockets, worker.socket)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		worker.Run()
	}()
}

// Close closes the workers' sockets and waits for the workers to return.
func (g *Group) Close() {
	for _, socket := range g.sockets {
		_ = socket.Close()
	}
	g.running.Wait()
}
