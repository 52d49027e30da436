package followed

import (
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// Config holds the parameters of a Follower.
type Config struct {
	// Wait is how long a watch waits for changes. It bounds how long updates are missed on an
	// unresponsive connection; each watch costs a call.
	Wait time.Duration
	// Slack is how much longer than its wait a watch may take.
	Slack time.Duration
	// MaxTransfer is how long an answer that has begun may take to complete.
	MaxTransfer time.Duration
	// ListTimeout is the time to first byte of a list page, ConfirmTimeout that of a watch that
	// does not wait. Both grow with failures, so that a slow store does not count as lost
	// forever.
	ListTimeout    time.Duration
	ConfirmTimeout time.Duration
	// Gather is the minimum interval between the starts of two watches, so that changes in
	// quick succession arrive in one answer.
	Gather time.Duration
	// MinBackoff and MaxBackoff bound the exponential backoff with jitter after failures.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// BackoffPerMember raises both bounds by this much per daemon that follows the store,
	// unless there is no configuration yet, so that the total call rate does not grow with
	// their number.
	BackoffPerMember time.Duration
	// MaxBackoffWithPeers replaces MaxBackoff while peers keep the view up to date.
	MaxBackoffWithPeers time.Duration
	// HedgeAfter is how long a daemon without a configuration waits for a list before it sends
	// a hedged request, MaxHedgedLists the maximum number of requests in flight (Dean, Barroso, "The
	// Tail at Scale", 2013). A request sent while the store was unresponsive may never be
	// answered. HedgePerMember raises HedgeAfter for each daemon in the group.
	HedgeAfter     time.Duration
	HedgePerMember time.Duration
	MaxHedgedLists int
	// StartupSpread is the delay, in addition to the transfer time of a long list, for which a
	// daemon without a configuration waits for a peer's answer before it reads the list. It
	// keeps a large group that starts at once from saturating the store's link. It must cover the
	// 300 ms within which the machines of a fleet start.
	StartupSpread SuppressionTimer
	// PagedSpread is the delay for which a daemon without a configuration waits for a peer's
	// answer after finding that the content has many pages. Most daemons draw a long delay, as
	// seeds supply them; a few read early in case no seed is up.
	PagedSpread SuppressionTimer
	// MaxEarlyTargetsBytes is the largest list of targets that a daemon with a slow link reads before all
	// else; 0 disables it. The default keeps 300 daemons starting at once from occupying a
	// store's link of 1 Gbit/s for more than 0.16 s; it holds some 250 targets.
	MaxEarlyTargetsBytes int64
	// Keys divides a list into ranges of keys. If it is nil, pages are read one after the other.
	Keys KeySplitter
	// LinkBytes is the capacity of the daemon's link in bytes per second, 0 if unknown.
	LinkBytes float64
	// View configures how long the view retains removed entries.
	View storeview.Config
}

// transferTime returns the time to transfer bytes over the daemon's link.
func (c *Config) transferTime(bytes int64) time.Duration {
	if c.LinkBytes <= 0 {
		return 0
	}
	return min(time.Duration(float64(bytes)/c.LinkBytes*float64(time.Second)), maxTransferTime)
}

// maxTransferTime bounds transferTime on slow links.
const maxTransferTime = time.Second

// DefaultConfig suits a store a few milliseconds away.
func DefaultConfig() Config {
	return Config{
		Wait:  time.Second,
		Slack: 400 * time.Millisecond,

		MaxTransfer: 10 * time.Second,

		ListTimeout: 800 * time.Millisecond,

		ConfirmTimeout: 400 * time.Millisecond,

		Gather:     250 * time.Millisecond,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: 800 * time.Millisecond,

		MaxBackoffWithPeers: 3 * time.Second,
		HedgeAfter:          150 * time.Millisecond,
		HedgePerMember:      20 * time.Millisecond,
		MaxHedgedLists:      6,

		StartupSpread: SuppressionTimer{MaxDelay: 300 * time.Millisecond, GroupSize: 1000},

		PagedSpread: SuppressionTimer{MaxDelay: 4 * time.Second, GroupSize: 1000},

		MaxEarlyTargetsBytes: 64 << 10,

		BackoffPerMember: 25 * time.Millisecond,

		View: storeview.DefaultConfig(),
	}
}
