package storenode

import (
	"context"
	"sync"
)

// transfers limits a daemon without a configuration to one long answer at a time: several would share
// the link and all arrive later. It is safe for concurrent use.
type transfers struct {
	// place is a semaphore held while a long answer is received.
	place chan struct{}

	mutex sync.Mutex
	// begun is done once a long answer begins to arrive. Pulls still waiting for an answer are
	// canceled then, since it would not be used.
	begun context.Context
	begin context.CancelFunc
}

func newTransfers() *transfers {
	made := &transfers{place: make(chan struct{}, 1)}
	made.begun, made.begin = context.WithCancel(context.Background())
	return made
}

// untilBegun returns a context that is done once a long answer begins to arrive.
func (t *transfers) untilBegun() context.Context {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.begun
}

// start acquires the semaphore for a long answer. If another answer is being received it waits for
// that to fail, and reports false if ctx is done first.
func (t *transfers) start(ctx context.Context) bool {
	select {
	case t.place <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.begin()
	return true
}

// end releases the semaphore. Pulls that start from now on may wait for an answer again.
func (t *transfers) end() {
	t.mutex.Lock()
	t.begun, t.begin = context.WithCancel(context.Background())
	t.mutex.Unlock()
	<-t.place
}

// wait returns once no long answer is being received.
func (t *transfers) wait(ctx context.Context) {
	select {
	case t.place <- struct{}{}:
		<-t.place
	case <-ctx.Done():
	}
}
