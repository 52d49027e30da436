package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

// Health answers the health endpoints. An empty reason means yes.
type Health interface {
	// Alive says why the process should be replaced.
	Alive() (reason string)
	// Ready says why the fabric should send no packets here.
	Ready() (reason string)
}

const (
	readTimeout     = 5 * time.Second
	shutdownTimeout = time.Second
)

// Server serves /metrics, /healthz and /readyz.
type Server struct {
	server *http.Server
}

// Serve starts a server.
func Serve(address netip.AddrPort, registry *prometheus.Registry, health Health) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "telemetry %s", address)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.Handle("/healthz", answer(health.Alive))
	mux.Handle("/readyz", answer(health.Ready))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			// The listener was closed under the server; Close follows.
			return
		}
	}()
	return &Server{server: server}, nil
}

func answer(ask func() string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if reason := ask(); reason != "" {
			http.Error(writer, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ok\n"))
	})
}

// Close stops the server.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
