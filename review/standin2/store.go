//go:build review

package main

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/platform"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// storeFront is the store as one machine sees it. It can turn that machine away by silence while the
// store serves the others.
type storeFront struct {
	handler  http.Handler
	server   *http.Server
	listener net.Listener

	mutex    sync.Mutex
	isSilent bool
	// lastWait is when a watch that may wait was last answered.
	lastWait time.Time
}

func startStoreFront(address netip.AddrPort, store *environment.Store) (*storeFront, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	front := &storeFront{handler: platform.Handler(store), listener: listener}
	front.server = &http.Server{Handler: front, ReadHeaderTimeout: time.Second}
	go func() { _ = front.server.Serve(listener) }()
	return front, nil
}

// bufferedAnswer holds an answer back until it is known whether it is sent.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedAnswer) Header() http.Header               { return b.header }
func (b *bufferedAnswer) WriteHeader(status int)            { b.status = status }
func (b *bufferedAnswer) Write(content []byte) (int, error) { return b.body.Write(content) }

// ServeHTTP implements http.Handler. A call that is not answered stays open until its caller gives up,
// so that its connection says nothing further.
func (f *storeFront) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := &bufferedAnswer{header: writer.Header(), status: http.StatusOK}
	if !f.silent() {
		f.handler.ServeHTTP(answer, request)
		time.Sleep(storeLatency)
	}
	if f.silent() {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body.Bytes())
	if waits := request.URL.Query().Get("WaitMs"); strings.HasSuffix(request.URL.Path, "kv-watch") && waits != "0" {
		f.mutex.Lock()
		f.lastWait = time.Now()
		f.mutex.Unlock()
	}
}

func (f *storeFront) silent() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isSilent
}

func (f *storeFront) setSilent(isSilent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isSilent = isSilent
}

func (f *storeFront) lastWaitingWatch() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastWait
}

func (f *storeFront) close() { _ = f.server.Close() }
