package node

import (
	"context"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/dissemination"
)

// Submit proposes a change to the fleet and waits for the outcome. It sets the change's time.
func (n *Node) Submit(ctx context.Context, change catalog.Change) (control.ProposalResult, error) {
	reply := make(chan control.ProposalResult, 1)
	change.Time = time.Now().Unix()
	accepted := n.Enqueue(func(now time.Time) {
		n.token++
		n.results[n.token] = reply
		n.execute(n.core.Submit(now, n.token, &change))
	})
	if !accepted {
		return control.ProposalResult{}, errStopped
	}
	return await(ctx, n.Context(), reply)
}

// Status requests the active configuration version of every live daemon.
func (n *Node) Status(ctx context.Context) (control.FleetStatus, error) {
	reply := make(chan control.FleetStatus, 1)
	accepted := n.Enqueue(func(now time.Time) {
		n.token++
		n.statuses[n.token] = reply
		n.execute(n.core.RequestStatus(now, n.token))
	})
	if !accepted {
		return control.FleetStatus{}, errStopped
	}
	return await(ctx, n.Context(), reply)
}

// Recover forces a new consensus group that starts from this daemon's configuration, and returns the new version.
func (n *Node) Recover(ctx context.Context) (dissemination.Version, error) {
	reply := make(chan dissemination.Version, 1)
	accepted := n.Enqueue(func(now time.Time) {
		n.execute(n.core.Recover(now))
		reply <- n.core.Version()
	})
	if !accepted {
		return dissemination.Version{}, errStopped
	}
	return await(ctx, n.Context(), reply)
}

func await[T any](ctx, nodeCtx context.Context, reply <-chan T) (T, error) {
	var zero T
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-nodeCtx.Done():
		return zero, errStopped
	}
}

// Configuration returns this daemon's active configuration; it is empty before the first.
func (n *Node) Configuration() (*catalog.State, dissemination.Version) {
	current := n.view.Load()
	if current == nil {
		return &catalog.State{}, dissemination.Version{}
	}
	return current.state, current.version
}

// Changed returns a channel that is closed at the next change of the configuration.
func (n *Node) Changed() <-chan struct{} { return n.watchers.next() }

// watchers broadcasts changes of the configuration.
type watchers struct {
	mutex   sync.Mutex
	changed chan struct{}
}

func (w *watchers) next() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

func (w *watchers) notify() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}
