package followed

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// returnWatch detects outages of the store. Entries that targets must renew may expire during
// an outage and reappear with the next renewal.
type returnWatch struct {
	confirmedAt time.Time
	returnedAt  time.Time
	epoch       uint64
}

// noteEpoch records the epoch of the view. A restore counts as an outage, however short.
func (w *returnWatch) noteEpoch(now time.Time, epoch uint64) {
	if epoch > w.epoch {
		w.epoch = epoch
		w.returnedAt = now
	}
}

// note records when the store last confirmed the view. A gap of at least away counts as an
// outage, and so does the time before the first confirmation.
func (w *returnWatch) note(now, confirmedAt time.Time, away time.Duration) {
	if !confirmedAt.After(w.confirmedAt) {
		return
	}
	if w.confirmedAt.IsZero() || confirmedAt.Sub(w.confirmedAt) >= away {
		w.returnedAt = now
	}
	w.confirmedAt = confirmedAt
}

// lapseMargin is how much earlier than this daemon others may have received the first
// confirmation after an outage.
const lapseMargin = time.Second

// Lapse returns the interval in which targets may be missing because their entries expired
// during an outage. Before the store's first answer, any target may be missing.
func (f *Fleet) Lapse(now time.Time) storeview.Lapse {
	returned := f.storeReturn.returnedAt
	if returned.IsZero() {
		returned = now
	}
	return storeview.Lapse{Since: returned.Add(-lapseMargin), Until: returned.Add(f.config.ReturnWithin)}
}
