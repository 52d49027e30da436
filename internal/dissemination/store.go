// Package dissemination holds one daemon's active configuration and the recent log entries with
// which other daemons catch up. The configuration only moves forward: within a consensus group
// by index, across groups by epoch. The package does no I/O.
package dissemination

import (
	"cmp"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/identity"
)

// Version is a position in the sequence of configurations.
type Version struct {
	Epoch consensus.Epoch `cbor:"1,keyasint"`
	Index uint64          `cbor:"2,keyasint"`
}

// Order is the result of comparing two versions.
type Order int8

// Orders. Conflicting versions belong to groups that were founded independently; neither
// supersedes the other.
const (
	Older Order = iota - 1
	Same
	Newer
	Conflicting
)

// Compare returns the order of v relative to other: Newer if v is ahead.
func (v Version) Compare(other Version) Order {
	if v.Epoch.Number != other.Epoch.Number {
		return Order(cmp.Compare(v.Epoch.Number, other.Epoch.Number))
	}
	if v.Epoch.Group != other.Epoch.Group {
		return Conflicting
	}
	return Order(cmp.Compare(v.Index, other.Index))
}

// Update brings a daemon to a later version, either by the entries that follow its version or
// by a snapshot.
type Update struct {
	Epoch   consensus.Epoch   `cbor:"1,keyasint"`
	Entries []consensus.Entry `cbor:"2,keyasint,omitempty"`
	// Index, Voters and Compressed form the snapshot. Compressed is the zstd-compressed catalog
	// state.
	Index      uint64              `cbor:"3,keyasint,omitempty"`
	Voters     []identity.Identity `cbor:"4,keyasint,omitempty"`
	Compressed []byte              `cbor:"5,keyasint,omitempty"`
}

const (
	// maxRecentEntries bounds the recent entries kept for other daemons. At 2,300 changes a day
	// they cover more than a day.
	maxRecentEntries = 4096
	maxUpdateEntries = 1024
	// maxStateBytes bounds the decompressed size of a snapshot, in bytes.
	maxStateBytes = 64 << 20
)

// Applied is an applied entry and its outcome.
type Applied struct {
	Entry   consensus.Entry
	Outcome catalog.Outcome
}

// Store holds one daemon's active configuration. It is not safe for concurrent use; the catalog
// states it returns are immutable.
type Store struct {
	version Version
	state   *catalog.State
	voters  []identity.Identity
	recent  []consensus.Entry
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(eris.Wrap(err, "create zstd encoder"))
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes))
	if err != nil {
		panic(eris.Wrap(err, "create zstd decoder"))
	}
	return &Store{state: &catalog.State{}, encoder: encoder, decoder: decoder}
}

// Version returns the version of the active configuration.
func (s *Store) Version() Version { return s.version }

// State returns the active configuration.
func (s *Store) State() *catalog.State { return s.state }

// Voters returns the voters as of Version.
func (s *Store) Voters() []identity.Identity { return s.voters }

// Apply applies committed entries in order, skipping those already applied. It stops at a gap,
// and applies nothing if the epoch differs.
func (s *Store) Apply(epoch consensus.Epoch, entries []consensus.Entry) ([]Applied, error) {
	var applied []Applied
	if epoch != s.version.Epoch {
		return nil, nil
	}
	for _, entry := range entries {
		if entry.Index <= s.version.Index {
			continue
		}
		if entry.Index != s.version.Index+1 {
			break
		}
		outcome, err := s.applyEntry(&entry)
		if err != nil {
			return applied, err
		}
		applied = append(applied, Applied{Entry: entry, Outcome: outcome})
	}
	return applied, nil
}

func (s *Store) applyEntry(entry *consensus.Entry) (catalog.Outcome, error) {
	var outcome catalog.Outcome
	switch entry.Kind {
	case consensus.EntryVoters:
		s.voters = entry.Voters
	case consensus.EntryData:
		var change catalog.Change
		if err := cbor.Unmarshal(entry.Data, &change); err != nil {
			return outcome, eris.Wrapf(err, "decode entry %d", entry.Index)
		}
		s.state, outcome = s.state.Apply(&change)
	}
	s.version.Index = entry.Index
	s.recent = append(s.recent, *entry)
	if excess := len(s.recent) - maxRecentEntries; excess > 0 {
		s.recent = append([]consensus.Entry(nil), s.recent[excess:]...)
	}
	return outcome, nil
}

// Install replaces the configuration by a snapshot if that is newer, and reports whether it
// did.
func (s *Store) Install(version Version, voters []identity.Identity, encodedState []byte) (bool, error) {
	if version.Compare(s.version) != Newer {
		return false, nil
	}
	state, err := catalog.Decode(encodedState)
	if err != nil {
		return false, err
	}
	s.version = version
	s.voters = voters
	s.state = state
	s.recent = nil
	return true, nil
}

// UpdateSince returns an update that brings a daemon forward from the version have, by a limited number
// of entries or by a snapshot; false if have is not older.
func (s *Store) UpdateSince(have Version) (Update, bool) {
	if s.version.Compare(have) != Newer {
		return Update{}, false
	}
	if have.Epoch == s.version.Epoch && len(s.recent) > 0 && s.recent[0].Index <= have.Index+1 {
		missing := s.recent[have.Index+1-s.recent[0].Index:]
		return Update{Epoch: s.version.Epoch, Entries: missing[:min(len(missing), maxUpdateEntries)]}, true
	}
	compressed := s.encoder.EncodeAll(s.state.Encode(), nil)
	return Update{Epoch: s.version.Epoch, Index: s.version.Index, Voters: s.voters, Compressed: compressed}, true
}

// ApplyUpdate applies an update as far as it is newer, and reports whether anything changed.
func (s *Store) ApplyUpdate(update *Update) (bool, error) {
	before := s.version
	if update.Compressed != nil {
		state, err := s.decoder.DecodeAll(update.Compressed, nil)
		if err != nil {
			return false, eris.Wrap(err, "decompress snapshot")
		}
		if _, err := s.Install(Version{Epoch: update.Epoch, Index: update.Index}, update.Voters, state); err != nil {
			return false, err
		}
	}
	if _, err := s.Apply(update.Epoch, update.Entries); err != nil {
		return false, err
	}
	return s.version != before, nil
}
