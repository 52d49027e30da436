package followed

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// wholeLifetime is how long a snapshot is reused for starting daemons, which receive later
// changes like all others. It saves building and encoding a snapshot per request when hundreds
// start at once and targets change constantly.
const wholeLifetime = time.Second

// wholeContent is a cached snapshot of the store's content.
type wholeContent struct {
	entries []storeview.Entry
	until   uint64
	at      time.Time
	// configuration is the revision of the configuration in the snapshot.
	configuration uint64
}

// of returns a snapshot of the view and its revision. Callers must not modify the entries.
func (w *wholeContent) of(now time.Time, view *storeview.View) (entries []storeview.Entry, until uint64) {
	isFresh := w.entries != nil && now.Sub(w.at) < wholeLifetime
	if !isFresh || w.configuration != view.ConfigurationRevision() || w.until < view.Forgotten() {
		*w = wholeContent{
			entries: view.EntriesSince(now, 0, storeview.Held{}), until: view.Revision(), at: now,
			configuration: view.ConfigurationRevision(),
		}
	}
	return w.entries, w.until
}

// expire frees a snapshot that is no longer reused.
func (w *wholeContent) expire(now time.Time) {
	if w.entries != nil && now.Sub(w.at) >= wholeLifetime {
		*w = wholeContent{}
	}
}
