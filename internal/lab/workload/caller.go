package workload

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/passtray/passtray/internal/lab/history"
)

// CallerConfig describes the load on one service.
type CallerConfig struct {
	Service string
	Address netip.AddrPort
	// OncePerSecond is the rate of non-idempotent requests, UploadsPerSecond that of
	// uploads, and Feeds the number of long-lived streams.
	OncePerSecond    float64
	Feeds            int
	UploadsPerSecond float64
	UploadBytes      int
	ResponseBytes    int
	// Deadline is the timeout of one attempt.
	Deadline time.Duration
	// FeedStall is the time without an event after which a feed counts as broken.
	FeedStall time.Duration
	History   *history.Log
	Record    func(class Class, duration time.Duration)
}

// Class groups requests whose latency is reported together.
type Class string

const (
	ClassOnce      Class = "once"
	ClassUpload    Class = "upload"
	ClassHandshake Class = "handshake"
)

// Callers generates the load on one service.
type Callers struct {
	config CallerConfig
	random *rand.Rand
	number atomic.Uint64
	// Dials counts connection attempts.
	Dials atomic.Uint64
	// DialErrors counts connection attempts that failed.
	DialErrors atomic.Uint64
	// The number of attempts at requests by outcome.
	Answered atomic.Uint64
	NotRun   atomic.Uint64
	Unknown  atomic.Uint64
	// OpenFeeds is the current number of open feeds.
	OpenFeeds atomic.Int64
}

const (
	maxAttempts       = 8
	retryDelay        = 300 * time.Millisecond
	keepAliveInterval = 5 * time.Second
	maxFeedStartDelay = 2 * time.Second
	// feedStallAtEnd is the time without an event after which a feed counts as broken at the
	// end of the run.
	feedStallAtEnd = 3 * time.Second
)

// NewCallers creates callers. The seed determines when they send.
func NewCallers(config CallerConfig, seed uint64) *Callers {
	return &Callers{config: config, random: rand.New(rand.NewPCG(seed, 1))}
}

// Run starts the load, which continues until ctx is done. Pending requests aren't canceled.
func (c *Callers) Run(ctx context.Context, start func(func())) {
	for number := range c.config.Feeds {
		startDelay := time.Duration(c.random.Int64N(int64(maxFeedStartDelay)))
		start(func() { c.runFeed(ctx, number, startDelay) })
	}
	c.arrivals(ctx, c.config.OncePerSecond, start, func() { c.request(kindOnce, ClassOnce) })
	c.arrivals(ctx, c.config.UploadsPerSecond, start, func() { c.request(kindUpload, ClassUpload) })
}

// arrivals generates open-loop load: it starts call at exponentially distributed
// intervals, independent of response times.
func (c *Callers) arrivals(ctx context.Context, perSecond float64, start func(func()), call func()) {
	if perSecond <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(c.random.Uint64(), 2))
	start(func() {
		next := time.Now()
		for {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-time.After(time.Until(next)):
				start(call)
			case <-ctx.Done():
				return
			}
		}
	})
}

func (c *Callers) dial(ctx context.Context) (*quic.Conn, error) {
	c.Dials.Add(1)
	start := time.Now()
	connection, err := quic.DialAddr(ctx, c.config.Address.String(), &tls.Config{
		InsecureSkipVerify: true, ServerName: serverName, MinVersion: tls.VersionTLS13,
		NextProtos: []string{applicationProtocol(c.config.Service)},
	}, &quic.Config{KeepAlivePeriod: keepAliveInterval, MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: handshakeTimeout})
	if err != nil {
		c.DialErrors.Add(1)
		return nil, err
	}
	c.config.Record(ClassHandshake, time.Since(start))
	return connection, nil
}

// request sends one request. It retries only if the request is known not to have run.
func (c *Callers) request(requestKind kind, class Class) {
	id := fmt.Sprintf("%s-%s-%d", c.config.Service, class, c.number.Add(1))
	start := time.Now()
	for attempt := range maxAttempts {
		outcome, retryAfter := c.attempt(requestKind, id, fmt.Sprint(attempt))
		switch outcome {
		case history.OutcomeAnswered:
			c.Answered.Add(1)
			c.config.Record(class, time.Since(start))
			return
		case history.OutcomeNotRun:
			c.NotRun.Add(1)
			time.Sleep(retryAfter + time.Duration(rand.Int64N(int64(retryDelay))))
		default:
			c.Unknown.Add(1)
			return
		}
	}
}

func (c *Callers) attempt(requestKind kind, id, attempt string) (history.Outcome, time.Duration) {
	c.config.History.Add(history.Event{Kind: history.CallInvoked, Request: id, Detail: attempt, Service: c.config.Service})
	outcome, retryAfter, detail := c.exchange(requestKind, id, attempt)
	event := history.Event{Kind: history.CallReturned, Request: id, Detail: attempt, Service: c.config.Service, Outcome: outcome}
	if outcome == history.OutcomeWrong {
		event.Detail = detail
	}
	c.config.History.Add(event)
	return outcome, retryAfter
}

// exchange dials, sends the request and reads the response. If dialing fails, the request
// wasn't sent and did not run.
func (c *Callers) exchange(requestKind kind, id, attempt string) (history.Outcome, time.Duration, string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.Deadline)
	defer cancel()
	connection, err := c.dial(ctx)
	if err != nil {
		return history.OutcomeNotRun, 0, ""
	}
	defer func() { _ = connection.CloseWithError(0, "") }()
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return history.OutcomeNotRun, 0, ""
	}
	req := request{
		Kind: requestKind, ID: id, Attempt: attempt, ResponseSize: uint32(c.config.ResponseBytes),
		DeadlineMilliseconds: uint32(c.config.Deadline.Milliseconds() / 2),
	}
	if requestKind == kindUpload {
		req.Body = make([]byte, c.config.UploadBytes)
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	if err := cbor.NewEncoder(stream).Encode(req); err != nil {
		return history.OutcomeUnknown, 0, ""
	}
	_ = stream.Close()
	var resp response
	if err := cbor.NewDecoder(stream).Decode(&resp); err != nil {
		return history.OutcomeUnknown, 0, ""
	}
	if resp.ID != id {
		return history.OutcomeWrong, 0, "received the response to request " + resp.ID
	}
	if resp.NotRun {
		return history.OutcomeNotRun, time.Duration(resp.RetryAfterMilliseconds) * time.Millisecond, ""
	}
	if len(resp.Payload) != c.config.ResponseBytes || resp.Checksum != checksumOf(id, resp.Payload) {
		return history.OutcomeWrong, 0, "response has the wrong length or checksum"
	}
	return history.OutcomeAnswered, 0, ""
}

// runFeed keeps one feed open until ctx is done, and reopens it when it breaks.
func (c *Callers) runFeed(ctx context.Context, number int, startDelay time.Duration) {
	time.Sleep(startDelay)
	for generation := 0; ctx.Err() == nil; generation++ {
		id := fmt.Sprintf("%s-feed-%d.%d", c.config.Service, number, generation)
		if !c.streamFeed(ctx, id) {
			time.Sleep(retryDelay)
		}
	}
}

func (c *Callers) streamFeed(ctx context.Context, id string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, c.config.Deadline)
	defer cancel()
	connection, err := c.dial(dialCtx)
	if err != nil {
		return false
	}
	defer func() { _ = connection.CloseWithError(0, "") }()
	stream, err := connection.OpenStreamSync(dialCtx)
	if err != nil {
		return false
	}
	if err := cbor.NewEncoder(stream).Encode(request{Kind: kindFeed, ID: id}); err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	c.OpenFeeds.Add(1)
	defer c.OpenFeeds.Add(-1)
	target, last, err := c.readFeed(stream, id)
	kind := history.FeedClosed
	detail := ""
	switch {
	case ctx.Err() == nil:
		kind, detail = history.FeedBroken, err.Error()
	case time.Since(last) > feedStallAtEnd:
		// The run ended before FeedStall had passed.
		kind, detail = history.FeedBroken, "unresponsive at the end of the run"
	}
	c.config.History.Add(history.Event{Kind: kind, Request: id, Service: c.config.Service, Target: target, Detail: detail})
	return true
}

// readFeed reads events until an error or timeout, and returns the feed's target and the
// time of the last event.
func (c *Callers) readFeed(stream *quic.Stream, id string) (string, time.Time, error) {
	decoder := cbor.NewDecoder(stream)
	target := ""
	last := time.Now()
	for expected := uint64(1); ; expected++ {
		_ = stream.SetReadDeadline(time.Now().Add(c.config.FeedStall))
		var event feedEvent
		if err := decoder.Decode(&event); err != nil {
			return target, last, err
		}
		last = time.Now()
		if expected == 1 {
			target = event.Target
			c.config.History.Add(history.Event{Kind: history.FeedOpened, Request: id, Service: c.config.Service, Target: target})
		}
		if event.Sequence != expected {
			return target, last, errors.New("missing event in feed")
		}
	}
}
