package storeview

// Revisions totally order all writes to the store. A store that is restored from a backup loses its
// last changes and reuses their numbers, so a revision holds the store's epoch, which increases
// with each restore, in the bits above the number of the change (as ZooKeeper's zxid does). Any
// change of a later epoch thus compares as newer.

// numberBits is the width of the change number, enough for a thousand changes a second for 35
// years. The 24 bits above it are the epoch.
const numberBits = 40

const (
	// MaxEpoch and MaxChangeNumber are the highest epoch and change number that a revision can hold.
	MaxEpoch        = 1<<(64-numberBits) - 1
	MaxChangeNumber = 1<<numberBits - 1
)

// NewRevision returns the revision of the change with a number in an epoch.
func NewRevision(epoch, number uint64) uint64 { return epoch<<numberBits | number&MaxChangeNumber }

// EpochOf returns the epoch of a revision, 0 if the store has no epochs.
func EpochOf(revision uint64) uint64 { return revision >> numberBits }

// ChangeNumberOf returns the change number of a revision within its epoch.
func ChangeNumberOf(revision uint64) uint64 { return revision & MaxChangeNumber }
