package storeview

import "time"

// Config holds the retention and grace periods of a view.
type Config struct {
	// Retention is how long removed targets and tombstones are kept.
	Retention time.Duration
	// RestoreGrace is the grace period after the store was restored from a backup, in which state
	// from before the restore is kept where it is newer than the backup. It must give writers time
	// to rewrite their entries, and entries of ended targets time to expire.
	RestoreGrace time.Duration
	// RewriteGrace is how long after the store's return, from a restore or an outage, an entry
	// may be missing from it before its target counts as removed. A live writer rewrites its entry
	// sooner.
	RewriteGrace time.Duration
}

// DefaultConfig suits targets that renew their entries every 1.2 s.
func DefaultConfig() Config {
	return Config{
		Retention:    time.Minute,
		RestoreGrace: RestoreGraceForRenewal(1200 * time.Millisecond),

		RewriteGrace: 2 * time.Second,
	}
}

const (
	// missedRenewalsToExpire is the number of missed renewals after which a target's entry expires.
	missedRenewalsToExpire = 3
	// propagationMargin allows for store calls and the propagation of updates.
	propagationMargin = time.Second
)

// RestoreGraceForRenewal derives RestoreGrace from the interval at which targets renew their entries.
func RestoreGraceForRenewal(renewal time.Duration) time.Duration {
	return missedRenewalsToExpire*renewal + propagationMargin
}
