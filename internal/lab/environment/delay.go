// Package environment is the lab's stand-ins for what passtray is placed in: a
// fabric that sprays packets over the daemons, the platform's read-only service,
// and the distance between zones.
package environment

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/passtray/passtray/internal/forwarding"
)

// delayLine runs deliveries a fixed time after they were put in, in order.
type delayLine struct {
	delay  time.Duration
	queue  chan delayed
	closed chan struct{}
}

type delayed struct {
	due time.Time
	run func()
}

const delayQueueLength = 16384

func newDelayLine(delay time.Duration) *delayLine {
	line := &delayLine{delay: delay, queue: make(chan delayed, delayQueueLength), closed: make(chan struct{})}
	go line.loop()
	return line
}

func (l *delayLine) loop() {
	for {
		select {
		case item := <-l.queue:
			if wait := time.Until(item.due); wait > 0 {
				time.Sleep(wait)
			}
			item.run()
		case <-l.closed:
			return
		}
	}
}

// put schedules a delivery; a full line loses it, as a full queue on a network
// does.
func (l *delayLine) put(run func()) {
	select {
	case l.queue <- delayed{due: time.Now().Add(l.delay), run: run}:
	default:
	}
}

func (l *delayLine) close() { close(l.closed) }

// Distance says how far two addresses are from each other, one way.
type Distance func(from, to netip.AddrPort) time.Duration

// DelaySocket puts the distance to each destination before what is written.
func DelaySocket(socket forwarding.Socket, distance Distance) forwarding.Socket {
	return &delaySocket{
		Socket: socket, local: forwarding.AddressOf(socket.LocalAddr()), distance: distance,
		lines: map[time.Duration]*delayLine{},
	}
}

type delaySocket struct {
	forwarding.Socket
	local    netip.AddrPort
	distance Distance
	mutex    sync.Mutex
	lines    map[time.Duration]*delayLine
}

// WriteBatch serves forwarding.Socket.
func (s *delaySocket) WriteBatch(messages []ipv4.Message, flags int) (int, error) {
	for index := range messages {
		delay := s.distance(s.local, forwarding.AddressOf(messages[index].Addr))
		if delay <= 0 {
			if _, err := s.Socket.WriteBatch(messages[index:index+1], flags); err != nil {
				return index, err
			}
			continue
		}
		copied := copyMessage(&messages[index])
		s.line(delay).put(func() { _, _ = s.Socket.WriteBatch(copied, flags) })
	}
	return len(messages), nil
}

func copyMessage(message *ipv4.Message) []ipv4.Message {
	address := *message.Addr.(*net.UDPAddr)
	address.IP = append([]byte(nil), address.IP...)
	return []ipv4.Message{{Buffers: [][]byte{append([]byte(nil), message.Buffers[0]...)}, Addr: &address}}
}

func (s *delaySocket) line(delay time.Duration) *delayLine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := s.lines[delay]
	if line == nil {
		line = newDelayLine(delay)
		s.lines[delay] = line
	}
	return line
}

// Close ends the lines too.
func (s *delaySocket) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for delay, line := range s.lines {
		line.close()
		delete(s.lines, delay)
	}
	return s.Socket.Close()
}
