// Package webserver runs an HTTP server in the background. Once the server is closed, its address can be reused.
package webserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Server is a running HTTP server with one listener.
type Server struct {
	http *http.Server
	// closed is closed after the listener has been closed.
	closed chan struct{}
}

// Serve starts a server on listener and takes ownership of it. Clients have headerTimeout to send a request's header.
func Serve(listener net.Listener, handler http.Handler, headerTimeout time.Duration) *Server {
	server := &Server{
		http:   &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		closed: make(chan struct{}),
	}
	go func() {
		defer close(server.closed)
		_ = server.http.Serve(listener) // always returns an error, usually http.ErrServerClosed
	}()
	return server
}

// Close stops the server immediately and closes the connections of requests in progress.
func (s *Server) Close() {
	_ = s.http.Close() // an error concerns the listener only, which Serve closes as well
	s.awaitClosed()
}

// Shutdown stops the server gracefully. Requests in progress are canceled after the timeout.
func (s *Server) Shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.Close()
		return
	}
	s.awaitClosed()
}

// awaitClosed waits until the listener is closed. If the server is closed before its goroutine has registered the
// listener, only that goroutine closes it, and until then the address is in use.
func (s *Server) awaitClosed() { <-s.closed }
