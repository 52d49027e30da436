package storenode

import (
	"context"
	"net/http"
	"time"

	"github.com/passtray/passtray/internal/followed"
)

// servePull serves a pull. It redirects the peer to another daemon if there is no configuration yet
// or all answer slots are in use. If no other daemon can answer or the peer was redirected too
// often, it waits for a configuration and a slot within the hold that the peer requested.
func (l *peerLink) servePull(w http.ResponseWriter, r *http.Request, serve func(pull *followed.Pull) (followed.Delta, bool)) {
	pull, err := readPull(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	holdTimer := time.NewTimer(pull.Hold)
	defer holdTimer.Stop()
	delta, isRedirect := l.redirect(pull, l.configured.Err() == nil && pull.Hold > 0, serve)
	if !isRedirect {
		l.waitConfigured(r.Context(), holdTimer)
		if r.Context().Err() != nil {
			return // the peer canceled the request
		}
		hasSlot := l.tryAcquireSlot()
		// A peer that was already redirected several times waits for a slot instead: busy daemons
		// could otherwise redirect it among themselves without end.
		mayRedirect := !hasSlot && pull.Redirects < followed.MaxRedirects
		if delta, isRedirect = l.redirect(pull, mayRedirect, serve); !isRedirect {
			hasSlot = hasSlot || l.waitForSlot(r.Context(), holdTimer)
			if !hasSlot {
				http.Error(w, "busy; ask another daemon", http.StatusServiceUnavailable)
				return
			}
			defer func() { <-l.answerSlots }()
			var isRunning bool
			if delta, isRunning = serve(pull); !isRunning {
				http.Error(w, "stopping", http.StatusServiceUnavailable)
				return
			}
		}
	}
	l.writeDelta(w, &delta)
}

func (l *peerLink) writeDelta(w http.ResponseWriter, delta *followed.Delta) {
	encoded, err := l.cache.encode(time.Now(), delta)
	if err != nil {
		http.Error(w, "cannot encode", http.StatusInternalServerError)
		return
	}
	l.traffic.sent[trafficOf(delta)].Add(uint64(len(encoded)))
	if l.onAnswer != nil {
		l.onAnswer(delta, len(encoded))
	}
	// Writing fails only if the peer disconnected, which needs no handling.
	_, _ = w.Write(encoded)
}

// redirect returns a delta that names another daemon to pull from. It reports false if isWanted is
// false or no daemon that can answer is known.
func (l *peerLink) redirect(pull *followed.Pull, isWanted bool, serve func(pull *followed.Pull) (followed.Delta, bool)) (followed.Delta, bool) {
	if !isWanted {
		return followed.Delta{}, false
	}
	busyPull := *pull
	busyPull.IsBusy = true
	delta, isRunning := serve(&busyPull)
	return delta, isRunning && delta.Ahead.IsValid()
}

// waitConfigured waits for a configuration until the hold timer fires. It rearms a timer that
// fired, so that the wait for an answer slot ends at once.
func (l *peerLink) waitConfigured(ctx context.Context, holdTimer *time.Timer) {
	select {
	case <-l.configured.Done():
	case <-ctx.Done():
	case <-holdTimer.C:
		holdTimer.Reset(0)
	}
}

// tryAcquireSlot acquires an answer slot without waiting. It reports false if none is free.
func (l *peerLink) tryAcquireSlot() bool {
	select {
	case l.answerSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// waitForSlot waits for an answer slot until the hold timer fires. It reports false if none became
// free.
func (l *peerLink) waitForSlot(ctx context.Context, holdTimer *time.Timer) bool {
	select {
	case l.answerSlots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-holdTimer.C:
	}
	return false
}
