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
	answer := make(chan control.ProposalResult, 1)
	change.Time = time.Now().Unix()
	accepted := n.Enqueue(func(now time.Time) {
		n.token++
		n.results[n.token] = answer
		n.carry(n.core.Submit(now, n.token, &change))
	})
	if !accepted {
		return control.ProposalResult{}, errStopped
	}
	return await(ctx, n.Context(), answer)
}

// Status requests the active configuration version of every live daemon.
func (n *Node) Status(ctx context.Context) (control.FleetStatus, error) {
	answer := make(chan control.FleetStatus, 1)
	accepted := n.Enqueue(func(now time.Time) {
		n.token++
		n.statuses[n.token] = answer
		n.carry(n.core.RequestStatus(now, n.token))
	})
	if !accepted {
		return control.FleetStatus{}, errStopped
	}
	return await(ctx, n.Context(), answer)
}

// Recover forces a new consensus group that starts from this daemon's configuration, and returns the new version.
func (n *Node) Recover(ctx context.Context) (dissemination.Version, error) {
	answer := make(chan dissemination.Version, 1)
	accepted := n.Enqueue(func(now time.Time) {
		n.carry(n.core.Recover(now))
		answer <- n.core.Version()
	})
	if !accepted {
		return dissemination.Version{}, errStopped
	}
	return await(ctx, n.Context(), answer)
}

func await[T any](ctx, life context.Context, answer <-chan T) (T, error) {
	var none T
	select {
	case given := <-answer:
		return given, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-life.Done():
		return none, errStopped
	}
}

// Configuration returns this daemon's active configuration; it is empty before the first.
func (n *Node) Configuration() (*catalog.State, dissemination.Version) {
	held := n.view.Load()
	if held == nil {
		return &catalog.State{}, dissemination.Version{}
	}
	return held.state, held.version
}

// Changed returns a channel that is closed at the next change of the configuration.
func (n *Node) Changed() <-chan struct{} { return n.watchers.next() }

// watchers broadcasts changes of the configuration.
type watchers struct {
	mutex sync.Mutex
	gate  chan struct{}
}

func (w *watchers) next() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.gate == nil {
		w.gate = make(chan struct{})
	}
	return w.gate
}

func (w *watchers) notify() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.gate != nil {
		close(w.gate)
		w.gate = nil
	}
}
