package storenode

import (
	"strings"
	"time"

	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	// targetsLineInterval is the minimum interval between log lines about changed targets. In a large
	// fleet hundreds change per second, each in an update of its own.
	targetsLineInterval = 250 * time.Millisecond
	// mostNamedTargets bounds the targets listed in one log line.
	mostNamedTargets = 20
)

// changedTargets collects the changes to targets since the last log line about them.
type changedTargets struct {
	details []string
	omitted int
	nextAt  time.Time
}

func (c *changedTargets) add(change *storeview.Change) {
	room := max(0, mostNamedTargets-len(c.details))
	named := change.Details[:min(room, len(change.Details))]
	c.details = append(c.details, named...)
	c.omitted += change.Omitted + len(change.Details) - len(named)
}

// sayTargets logs the collected changes, at most once per targetsLineInterval.
func (n *Node) sayTargets(now time.Time) {
	changed := &n.changedTargets
	if len(changed.details) == 0 || now.Before(changed.nextAt) {
		return
	}
	n.log.Info("targets changed", telemetry.FieldDetail, strings.Join(changed.details, ", "),
		telemetry.FieldOmitted, changed.omitted, telemetry.FieldRevision, storeview.NumberOf(n.fleet.View().Revision()))
	*changed = changedTargets{nextAt: now.Add(targetsLineInterval)}
}
