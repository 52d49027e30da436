package storenode

import (
	"context"
	"net/http"
	"time"

	"github.com/passtray/passtray/internal/followed"
)

// answer serves a pull. It redirects the peer to another daemon if there is no configuration yet or
// all answer slots are in use, and otherwise waits for them within the hold that the peer requested.
func (l *peerLink) answer(writer http.ResponseWriter, request *http.Request, serve func(pull *followed.Pull) (followed.Delta, bool)) {
	pull, err := readPull(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	holding := time.NewTimer(pull.Hold)
	defer holding.Stop()
	delta, isRedirect := l.redirect(pull, l.configured.Err() == nil && pull.Hold > 0, serve)
	if !isRedirect {
		l.waitConfigured(request.Context(), holding)
		if request.Context().Err() != nil {
			return // the peer canceled the request
		}
		hasPlace := l.beginAnswer()
		// A peer that was already redirected several times waits for a slot instead: busy daemons
		// could otherwise redirect it among themselves without end.
		isSentOn := !hasPlace && pull.Redirects < followed.MostRedirects
		if delta, isRedirect = l.redirect(pull, isSentOn, serve); !isRedirect {
			hasPlace = hasPlace || l.waitForPlace(request.Context(), holding)
			if !hasPlace {
				http.Error(writer, "busy; ask another daemon", http.StatusServiceUnavailable)
				return
			}
			defer func() { <-l.answering }()
			var isRunning bool
			if delta, isRunning = serve(pull); !isRunning {
				http.Error(writer, "stopping", http.StatusServiceUnavailable)
				return
			}
		}
	}
	l.write(writer, &delta)
}

func (l *peerLink) write(writer http.ResponseWriter, delta *followed.Delta) {
	encoded, err := l.cache.encode(time.Now(), delta)
	if err != nil {
		http.Error(writer, "cannot encode", http.StatusInternalServerError)
		return
	}
	l.traffic.sent[trafficOf(delta)].Add(uint64(len(encoded)))
	if l.given != nil {
		l.given(delta, len(encoded))
	}
	// Writing fails only if the peer disconnected, which needs no handling.
	_, _ = writer.Write(encoded)
}

// redirect returns a delta that names another daemon to pull from. It reports false if isWanted is
// false or no daemon that can answer is known.
func (l *peerLink) redirect(pull *followed.Pull, isWanted bool, serve func(pull *followed.Pull) (followed.Delta, bool)) (followed.Delta, bool) {
	if !isWanted {
		return followed.Delta{}, false
	}
	asked := *pull
	asked.IsBusy = true
	delta, isRunning := serve(&asked)
	return delta, isRunning && delta.Ahead.IsValid()
}

// waitConfigured waits for a configuration until the holding timer fires. It rearms a timer that
// fired, so that the wait for an answer slot ends at once.
func (l *peerLink) waitConfigured(ctx context.Context, holding *time.Timer) {
	select {
	case <-l.configured.Done():
	case <-ctx.Done():
	case <-holding.C:
		holding.Reset(0)
	}
}

// beginAnswer acquires an answer slot without waiting. It reports false if none is free.
func (l *peerLink) beginAnswer() bool {
	select {
	case l.answering <- struct{}{}:
		return true
	default:
		return false
	}
}

// waitForPlace waits for an answer slot until the holding timer fires. It reports false if none became
// free.
func (l *peerLink) waitForPlace(ctx context.Context, holding *time.Timer) bool {
	select {
	case l.answering <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-holding.C:
	}
	return false
}
