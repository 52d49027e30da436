// Package operator implements the operator API, a gRPC service over mutual TLS. It converts calls to configuration
// changes and responds once they are committed.
package operator

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/pki"
)

// Fleet provides the daemon's operations that the API exposes.
type Fleet interface {
	Submit(ctx context.Context, change catalog.Change) (control.ProposalResult, error)
	Status(ctx context.Context) (control.FleetStatus, error)
	Recover(ctx context.Context) (dissemination.Version, error)
	Configuration() (*catalog.State, dissemination.Version)
	Changed() <-chan struct{}
}

const (
	maxMessageBytes = 16 << 20
	stopTimeout     = time.Second
	pollInterval    = 100 * time.Millisecond
)

// Server is a running API server.
type Server struct {
	grpc *grpc.Server
	// closed is closed after the listener has been closed. If the server is stopped before its goroutine has registered
	// the listener, only that goroutine closes it, and until then the address is in use.
	closed chan struct{}
}

// Serve starts the API server. Clients need a certificate with the operator role.
func Serve(address netip.AddrPort, store *pki.Store, fleet Fleet) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on operator address %s", address)
	}
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(store.Server([]string{"h2"}, pki.RoleOperator))),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	)
	passtrayv1.RegisterOperatorServer(server, &service{fleet: fleet})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = server.Serve(listener) // fails only if already stopped, and then closes the listener
	}()
	return &Server{grpc: server, closed: closed}, nil
}

// Close stops the server gracefully, and after stopTimeout cancels the calls in progress.
func (s *Server) Close() {
	stopped := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		s.grpc.Stop()
	}
	<-s.closed
}

// service implements passtrayv1.OperatorServer.
type service struct {
	passtrayv1.UnimplementedOperatorServer
	fleet Fleet
}
