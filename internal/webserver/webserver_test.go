package webserver

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	return listener
}

// A server closed before its goroutine ran must not leave the listener open, which would make the next listen fail with
// "address already in use".
func TestAddressIsReusableAfterClose(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"close":    (*Server).Close,
		"shutdown": func(server *Server) { server.Shutdown(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			address := "127.0.0.1:0"
			for range 200 {
				listener := listen(t, address)
				address = listener.Addr().String()
				end(Serve(listener, http.NotFoundHandler(), time.Second))
			}
		})
	}
}

// slowServer has a request in progress that completes when release is closed; clientErr receives the client's error.
type slowServer struct {
	*Server
	release   chan struct{}
	clientErr chan error
}

func newSlowServer(t *testing.T) slowServer {
	t.Helper()
	called := make(chan struct{})
	slow := slowServer{release: make(chan struct{}), clientErr: make(chan error, 1)}
	listener := listen(t, "127.0.0.1:0")
	slow.Server = Serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(called)
		<-slow.release
	}), time.Second)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
	assert.NilError(t, err)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		slow.clientErr <- err
	}()
	<-called
	return slow
}

func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
	slow := newSlowServer(t)
	time.AfterFunc(10*time.Millisecond, func() { close(slow.release) })
	slow.Shutdown(time.Minute)
	assert.NilError(t, <-slow.clientErr)
}

func TestShutdownCancelsRequestsAfterTimeout(t *testing.T) {
	slow := newSlowServer(t)
	defer close(slow.release)
	slow.Shutdown(time.Millisecond)
	assert.Assert(t, <-slow.clientErr != nil)
}
