package followed

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// snapshotLifetime is how long a snapshot is reused for starting daemons, which receive later
// changes like all others. It saves building and encoding a snapshot per request when hundreds
// start at once and targets change constantly.
const snapshotLifetime = time.Second

// snapshotCache is a cached snapshot of the store's content.
type snapshotCache struct {
	entries  []storeview.Entry
	revision uint64
	builtAt  time.Time
	// configurationRevision is the revision of the configuration in the snapshot.
	configurationRevision uint64
}

// get returns a snapshot of the view and its revision. Callers must not modify the entries.
func (c *snapshotCache) get(now time.Time, view *storeview.View) (entries []storeview.Entry, revision uint64) {
	isFresh := c.entries != nil && now.Sub(c.builtAt) < snapshotLifetime
	if !isFresh || c.configurationRevision != view.ConfigurationRevision() || c.revision < view.CompactedRevision() {
		*c = snapshotCache{
			entries: view.EntriesSince(now, 0, storeview.Held{}), revision: view.Revision(), builtAt: now,
			configurationRevision: view.ConfigurationRevision(),
		}
	}
	return c.entries, c.revision
}

// expire frees a snapshot that is no longer reused.
func (c *snapshotCache) expire(now time.Time) {
	if c.entries != nil && now.Sub(c.builtAt) >= snapshotLifetime {
		*c = snapshotCache{}
	}
}
