package workload

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/backend"
	"github.com/passtray/passtray/internal/lab/history"
)

// TargetConfig configures a simulated target.
type TargetConfig struct {
	Service     string
	Name        string
	Address     netip.AddrPort
	ServiceAddr netip.AddrPort
	KeyringPath string
	Certificate tls.Certificate
	// Slots is the number of concurrent requests; further ones are queued up to their deadline.
	Slots              uint16
	MaximumConnections uint32
	// Work is the mean processing time of a request; it is multiplied by ColdFactor during the
	// first ColdFor, while the target warms up.
	Work       time.Duration
	ColdFactor float64
	ColdFor    time.Duration
	// ShedAbove is the number of queued requests above which further ones are rejected; 0 is
	// unlimited.
	ShedAbove int32
	// LoadLies makes the target always report a load of 0, LoadLag a load that is up to that old.
	LoadLies bool
	LoadLag  time.Duration
	History  *history.Log
}

// Target is a simulated target.
type Target struct {
	config    TargetConfig
	listener  *backend.Listener
	startedAt time.Time
	queued    atomic.Int32
	accepted  atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
	crashed   atomic.Bool
}

const (
	feedInterval     = 200 * time.Millisecond
	idleTimeout      = 30 * time.Second
	shedRetryAfter   = 500 * time.Millisecond
	maxStreams       = 1000
	handshakeTimeout = 5 * time.Second
)

func StartTarget(config TargetConfig) (*Target, error) {
	ctx, cancel := context.WithCancel(context.Background())
	target := &Target{config: config, startedAt: time.Now(), ctx: ctx, cancel: cancel}
	load := &reportedLoad{reportsZero: config.LoadLies, lag: config.LoadLag}
	var err error
	target.listener, err = backend.Listen(config.Address, backend.Config{
		Load:    load.report,
		Service: config.Service, Target: config.Name, KeyringPath: config.KeyringPath,
		Slots: config.Slots, MaximumConnections: config.MaximumConnections,
		Trace: target.trace,
	}, &tls.Config{
		Certificates: []tls.Certificate{config.Certificate},
		NextProtos:   []string{applicationProtocol(config.Service)},
		MinVersion:   tls.VersionTLS13,
	}, &quic.Config{
		MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout, MaxIncomingStreams: maxStreams,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	go target.accept()
	return target, nil
}

// FullName returns "service/target".
func (t *Target) FullName() string { return t.config.Service + "/" + t.config.Name }

func (t *Target) Service() string { return t.config.Service }

// Load returns the number of open connections and of busy slots.
func (t *Target) Load() (connections, busy int) {
	return int(t.listener.Connections()), int(t.listener.BusySlots())
}

func (t *Target) IsDraining() bool { return t.listener.IsDraining() }

// Attempts returns the number of handshakes begun so far.
func (t *Target) Attempts() uint64 { return t.listener.Attempts() }

// Accepted returns the number of connections accepted so far.
func (t *Target) Accepted() uint64 { return t.accepted.Load() }

func (t *Target) trace(service netip.AddrPort, _ bool) {
	if service != t.config.ServiceAddr {
		t.config.History.Add(history.Event{Kind: history.ForeignPacketReceived, Service: service.String(), Target: t.FullName()})
	}
}

func (t *Target) accept() {
	for {
		connection, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.accepted.Add(1)
		t.config.History.Add(history.Event{Kind: history.ConnectionOpened, Service: t.config.Service, Target: t.FullName()})
		go t.serve(connection)
	}
}

func (t *Target) serve(connection *quic.Conn) {
	for {
		stream, err := connection.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		go t.handle(stream)
	}
}

func (t *Target) handle(stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	var req request
	if err := cbor.NewDecoder(stream).Decode(&req); err != nil {
		return
	}
	switch req.Kind {
	case kindFeed:
		t.sendFeed(stream)
	case kindOnce, kindUpload:
		t.run(stream, &req)
	}
}

// run processes a request in a slot, or responds with NotRun if it gets none.
func (t *Target) run(stream *quic.Stream, req *request) {
	queued := t.queued.Add(1)
	release, err := t.acquire(stream, req, queued)
	t.queued.Add(-1)
	if err != nil {
		t.reply(stream, req, &response{ID: req.ID, NotRun: true, Target: t.FullName(), RetryAfterMilliseconds: uint32(shedRetryAfter.Milliseconds())})
		return
	}
	defer release()
	t.config.History.Add(history.Event{
		Kind: history.RequestRun, Request: req.ID, Detail: req.Attempt, Service: t.config.Service, Target: t.FullName(),
	})
	time.Sleep(t.workTime())
	payload := make([]byte, req.ResponseSize)
	for index := range payload {
		payload[index] = byte(rand.Uint32())
	}
	t.reply(stream, req, &response{ID: req.ID, Target: t.FullName(), Payload: payload, Checksum: checksumOf(req.ID, payload)})
}

func (t *Target) acquire(stream *quic.Stream, req *request, queued int32) (func(), error) {
	if t.config.ShedAbove > 0 && queued > t.config.ShedAbove {
		return nil, eris.New("too many queued requests")
	}
	// Canceling the stream also cancels its context, which ends the wait.
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(req.DeadlineMilliseconds)*time.Millisecond)
	defer cancel()
	return t.listener.AcquireSlot(ctx)
}

func (t *Target) workTime() time.Duration {
	work := float64(t.config.Work) * (0.5 + rand.Float64())
	if time.Since(t.startedAt) < t.config.ColdFor {
		work *= t.config.ColdFactor
	}
	return time.Duration(work)
}

func (t *Target) reply(stream *quic.Stream, req *request, resp *response) {
	if err := cbor.NewEncoder(stream).Encode(resp); err != nil && !t.crashed.Load() {
		t.config.History.Add(history.Event{
			Kind: history.ResponseFailed, Request: req.ID, Detail: err.Error(), Target: t.FullName(),
		})
	}
}

func (t *Target) sendFeed(stream *quic.Stream) {
	encoder := cbor.NewEncoder(stream)
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		if err := encoder.Encode(feedEvent{Sequence: sequence, Target: t.FullName()}); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-stream.Context().Done():
			return
		}
	}
}

// WaitIdle waits until all connections are closed.
func (t *Target) WaitIdle(ctx context.Context) error { return t.listener.WaitIdle(ctx) }

// Crash closes the target without draining it.
func (t *Target) Crash() {
	t.crashed.Store(true)
	t.config.History.Add(history.Event{Kind: history.TargetCrashed, Target: t.FullName()})
	t.Close()
}

func (t *Target) Close() {
	t.cancel()
	_ = t.listener.Close()
}

func (t *Target) String() string { return fmt.Sprintf("%s at %s", t.FullName(), t.config.Address) }
