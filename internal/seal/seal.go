// Package seal protects control datagrams with AES-GCM under a key shared by
// the fleet's daemons, with rotation: all keys held open, the active one seals.
// A replayed datagram opens again; what is carried must be harmless twice, as
// membership messages are by their incarnation numbers.
package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/connectionid"
)

// Overhead is how many bytes sealing adds.
const Overhead = 1 + nonceSize + tagSize

const (
	nonceSize = 12
	tagSize   = 16
)

// Sealer seals and opens datagrams. It is immutable and safe for concurrent use.
type Sealer struct {
	active  uint8
	ciphers [connectionid.MaximumKeys]cipher.AEAD
}

// ErrRefused is the answer to a datagram that no key opens.
var ErrRefused = eris.New("datagram is not sealed with a key of this fleet")

// New makes a sealer.
func New(active uint8, keys []connectionid.Key) (*Sealer, error) {
	sealer := &Sealer{active: active}
	for _, key := range keys {
		if key.Identifier >= connectionid.MaximumKeys {
			return nil, eris.Errorf("key identifier %d: must be 0 to %d", key.Identifier, connectionid.MaximumKeys-1)
		}
		block, err := aes.NewCipher(key.Secret)
		if err != nil {
			return nil, eris.Wrapf(err, "key %d", key.Identifier)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, eris.Wrapf(err, "key %d", key.Identifier)
		}
		sealer.ciphers[key.Identifier] = aead
	}
	if active >= connectionid.MaximumKeys || sealer.ciphers[active] == nil {
		return nil, eris.Errorf("active key %d: is not among the keys", active)
	}
	return sealer, nil
}

// Load reads a sealer from a key file of the keyring's form.
func Load(path string) (*Sealer, error) {
	active, keys, err := connectionid.LoadKeys(path)
	if err != nil {
		return nil, err
	}
	sealer, err := New(active, keys)
	if err != nil {
		return nil, eris.Wrapf(err, "fleet key %s", path)
	}
	return sealer, nil
}

// Seal returns the sealed form: key identifier, nonce, ciphertext and tag.
func (s *Sealer) Seal(plain []byte) []byte {
	sealed := make([]byte, 1+nonceSize, len(plain)+Overhead)
	sealed[0] = s.active
	if _, err := rand.Read(sealed[1:]); err != nil {
		panic(eris.Wrap(err, "the system's random source failed"))
	}
	return s.ciphers[s.active].Seal(sealed, sealed[1:1+nonceSize], plain, sealed[:1])
}

// Open returns the plain form of a sealed datagram, or ErrRefused.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if len(sealed) < Overhead || sealed[0] >= connectionid.MaximumKeys {
		return nil, ErrRefused
	}
	aead := s.ciphers[sealed[0]]
	if aead == nil {
		return nil, ErrRefused
	}
	plain, err := aead.Open(nil, sealed[1:1+nonceSize], sealed[1+nonceSize:], sealed[:1])
	if err != nil {
		return nil, ErrRefused
	}
	return plain, nil
}
