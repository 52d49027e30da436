package followed

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// outageTracker detects outages of the store. Entries that targets must renew may expire during
// an outage and reappear with the next renewal.
type outageTracker struct {
	confirmedAt time.Time
	recoveredAt time.Time
	epoch       uint64
}

// recordEpoch records the epoch of the view. A restore counts as an outage, however short.
func (o *outageTracker) recordEpoch(now time.Time, epoch uint64) {
	if epoch > o.epoch {
		o.epoch = epoch
		o.recoveredAt = now
	}
}

// recordConfirmation records when the store last confirmed the view. A gap of at least
// minOutage counts as an outage, and so does the time before the first confirmation.
func (o *outageTracker) recordConfirmation(now, confirmedAt time.Time, minOutage time.Duration) {
	if !confirmedAt.After(o.confirmedAt) {
		return
	}
	if o.confirmedAt.IsZero() || confirmedAt.Sub(o.confirmedAt) >= minOutage {
		o.recoveredAt = now
	}
	o.confirmedAt = confirmedAt
}

// outageMargin is how much earlier than this daemon others may have received the first
// confirmation after an outage.
const outageMargin = time.Second

// ExpiryWindow returns the expiry window, in which targets may be missing because their entries
// expired during an outage. Before the store's first answer, any target may be missing.
func (f *Fleet) ExpiryWindow(now time.Time) storeview.ExpiryWindow {
	recovered := f.outages.recoveredAt
	if recovered.IsZero() {
		recovered = now
	}
	return storeview.ExpiryWindow{Since: recovered.Add(-outageMargin), Until: recovered.Add(f.config.RenewalTimeout)}
}
