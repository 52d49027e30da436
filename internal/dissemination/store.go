// Package dissemination holds what of the configuration is in force on one
// daemon, and the recent entries that bring others up to it. It only moves
// forward: within a group by index, across groups by epoch. It does no I/O.
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

// Version says how far a daemon has come.
type Version struct {
	Epoch consensus.Epoch `cbor:"1,keyasint"`
	Index uint64          `cbor:"2,keyasint"`
}

// Order is how two versions stand to each other.
type Order int8

// The orders. Conflicting versions belong to groups founded apart; neither may
// give way by itself.
const (
	Older Order = iota - 1
	Same
	Newer
	Conflicting
)

// Against returns the order of v seen from other: Newer if v is ahead.
func (v Version) Against(other Version) Order {
	if v.Epoch.Number != other.Epoch.Number {
		return Order(cmp.Compare(v.Epoch.Number, other.Epoch.Number))
	}
	if v.Epoch.Group != other.Epoch.Group {
		return Conflicting
	}
	return Order(cmp.Compare(v.Index, other.Index))
}

// Update brings a daemon forward: by entries that follow what it has, or by a
// snapshot.
type Update struct {
	Epoch   consensus.Epoch   `cbor:"1,keyasint"`
	Entries []consensus.Entry `cbor:"2,keyasint,omitempty"`
	// Index, Voters and Compressed are the snapshot; Compressed is the zstd
	// form of the catalog state.
	Index      uint64              `cbor:"3,keyasint,omitempty"`
	Voters     []identity.Identity `cbor:"4,keyasint,omitempty"`
	Compressed []byte              `cbor:"5,keyasint,omitempty"`
}

const (
	// retainedEntries bounds the recent entries kept for others. At 2,300
	// changes a day it covers more than a day.
	retainedEntries = 4096
	// entriesPerUpdate bounds one update.
	entriesPerUpdate = 1024
	// maximumStateSize bounds what a snapshot may unpack to, in bytes.
	maximumStateSize = 64 << 20
)

// Applied is one entry's effect.
type Applied struct {
	Entry   consensus.Entry
	Outcome catalog.Outcome
}

// Store is one daemon's configuration in force. It is not safe for concurrent
// use; the catalog states it hands out are immutable.
type Store struct {
	version Version
	state   *catalog.State
	voters  []identity.Identity
	recent  []consensus.Entry
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewStore makes a store with nothing in force.
func NewStore() *Store {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(eris.Wrap(err, "zstd encoder options are constant"))
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maximumStateSize))
	if err != nil {
		panic(eris.Wrap(err, "zstd decoder options are constant"))
	}
	return &Store{state: &catalog.State{}, encoder: encoder, decoder: decoder}
}

// Version returns how far this daemon has come.
func (s *Store) Version() Version { return s.version }

// State returns the configuration in force.
func (s *Store) State() *catalog.State { return s.state }

// Voters returns the voters as of the version.
func (s *Store) Voters() []identity.Identity { return s.voters }

// Apply puts committed entries in force, in order, skipping those already in
// force. It stops at a gap.
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
		outcome, err := s.applyOne(&entry)
		if err != nil {
			return applied, err
		}
		applied = append(applied, Applied{Entry: entry, Outcome: outcome})
	}
	return applied, nil
}

func (s *Store) applyOne(entry *consensus.Entry) (catalog.Outcome, error) {
	var outcome catalog.Outcome
	switch entry.Kind {
	case consensus.EntryVoters:
		s.voters = entry.Voters
	case consensus.EntryData:
		var change catalog.Change
		if err := cbor.Unmarshal(entry.Data, &change); err != nil {
			return outcome, eris.Wrapf(err, "entry %d", entry.Index)
		}
		s.state, outcome = s.state.Apply(&change)
	}
	s.version.Index = entry.Index
	s.recent = append(s.recent, *entry)
	if excess := len(s.recent) - retainedEntries; excess > 0 {
		s.recent = append([]consensus.Entry(nil), s.recent[excess:]...)
	}
	return outcome, nil
}

// Install puts a whole state in force if it is newer, and reports whether it
// did.
func (s *Store) Install(version Version, voters []identity.Identity, encodedState []byte) (bool, error) {
	if version.Against(s.version) != Newer {
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

// Since returns the update that brings a daemon at have forward, and false if
// there is none to give.
func (s *Store) Since(have Version) (Update, bool) {
	if s.version.Against(have) != Newer {
		return Update{}, false
	}
	if have.Epoch == s.version.Epoch && len(s.recent) > 0 && s.recent[0].Index <= have.Index+1 {
		missing := s.recent[have.Index+1-s.recent[0].Index:]
		return Update{Epoch: s.version.Epoch, Entries: missing[:min(len(missing), entriesPerUpdate)]}, true
	}
	compressed := s.encoder.EncodeAll(s.state.Encode(), nil)
	return Update{Epoch: s.version.Epoch, Index: s.version.Index, Voters: s.voters, Compressed: compressed}, true
}

// Take puts an update in force as far as it is newer, and reports whether
// anything changed.
func (s *Store) Take(update *Update) (bool, error) {
	before := s.version
	if update.Compressed != nil {
		state, err := s.decoder.DecodeAll(update.Compressed, nil)
		if err != nil {
			return false, eris.Wrap(err, "snapshot")
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
