package storenode

import (
	"strings"
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	// minTargetLogInterval is the minimum interval between log lines about changed targets. In a large
	// fleet hundreds change per second, each in a separate update.
	minTargetLogInterval = 250 * time.Millisecond
	// maxLoggedTargets bounds the targets listed in one log line.
	maxLoggedTargets = 20
)

// changedTargets collects the changes to targets since the last log line about them.
type changedTargets struct {
	details   []string
	omitted   int
	nextLogAt time.Time
}

func (c *changedTargets) add(change *storeview.Change) {
	room := max(0, maxLoggedTargets-len(c.details))
	logged := change.Details[:min(room, len(change.Details))]
	c.details = append(c.details, logged...)
	c.omitted += change.Omitted + len(change.Details) - len(logged)
}

// logChangedTargets logs the collected changes, at most once per minTargetLogInterval.
func (n *Node) logChangedTargets(now time.Time) {
	changed := &n.changedTargets
	if len(changed.details) == 0 || now.Before(changed.nextLogAt) {
		return
	}
	n.log.Info("targets changed", telemetry.FieldDetail, strings.Join(changed.details, ", "),
		telemetry.FieldOmitted, changed.omitted, telemetry.FieldRevision, storeview.ChangeNumberOf(n.fleet.View().Revision()))
	*changed = changedTargets{nextLogAt: now.Add(minTargetLogInterval)}
}
