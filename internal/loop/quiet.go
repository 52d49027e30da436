package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/passtray/passtray/internal/monotonic"
	"github.com/passtray/passtray/internal/telemetry"
)

// WaitForQuiet returns once no packet has been received for the duration quiet, at the latest after
// maxWait. lastReceived is in nanoseconds of package monotonic.
func WaitForQuiet(ctx context.Context, log logr.Logger, quiet, maxWait time.Duration, lastReceived *atomic.Int64) {
	started := time.Now()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		quietSince := monotonic.Time(max(lastReceived.Load(), monotonic.Nanoseconds(started)))
		isQuiet := time.Since(quietSince) >= quiet
		if isQuiet || time.Since(started) >= maxWait {
			log.Info("drained", telemetry.FieldDetail, time.Since(started).String())
			return
		}
	}
}
