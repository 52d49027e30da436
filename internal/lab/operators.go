package lab

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/pki"
)

// operatorCall is one call to the operator API.
type operatorCall func(context.Context, passtrayv1.OperatorClient, *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error)

// operate makes one call to the operator API of a running daemon. It retries failed calls at other
// daemons until operatorTimeout has passed, with the same request ID, so that a change whose outcome
// is unknown is applied only once.
func (c *cluster) operate(call operatorCall) error {
	c.mutex.Lock()
	c.lastRequest++
	options := &passtrayv1.ChangeOptions{RequestId: fmt.Sprintf("lab-%d", c.lastRequest)}
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address, found := c.operatorAddress(attempt)
		if !found {
			return eris.New("no daemon is running")
		}
		response, err := c.callDaemon(ctx, address, options, call)
		if err == nil {
			c.history.Add(history.Event{Kind: history.ConfigurationAccepted, Revision: response.GetRevision()})
			return nil
		}
		lastErr = err
		time.Sleep(100 * time.Millisecond)
	}
	return eris.Wrap(lastErr, "call operator API")
}

func (c *cluster) operatorAddress(attempt int) (netip.AddrPort, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for offset := range c.daemons {
		index := (attempt + offset) % len(c.daemons)
		if c.daemons[index].running != nil {
			return c.plan.daemon(index, portOperator), true
		}
	}
	return netip.AddrPort{}, false
}

func (c *cluster) callDaemon(ctx context.Context, address netip.AddrPort, options *passtrayv1.ChangeOptions, call operatorCall) (*passtrayv1.ChangeResponse, error) {
	config := c.credentials.Client(address.Addr().String(), pki.RoleDaemon)
	config.NextProtos = []string{"h2"}
	connection, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(credentials.NewTLS(config)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	return call(ctx, passtrayv1.NewOperatorClient(connection), options)
}

// waitActive waits until the latest configuration is active on all live daemons.
func (c *cluster) waitActive() error {
	address, found := c.operatorAddress(0)
	if !found {
		return eris.New("no daemon is running")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	_, err := c.callDaemon(ctx, address, nil, func(ctx context.Context, client passtrayv1.OperatorClient, _ *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		_, err := client.WaitInForce(ctx, &passtrayv1.WaitInForceRequest{})
		return nil, err
	})
	return eris.Wrap(err, "wait until configuration is active")
}
