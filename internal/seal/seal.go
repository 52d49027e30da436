// Package seal encrypts and authenticates control datagrams with AES-GCM and a key that the fleet's
// daemons share. For key rotation, any key of the key file decrypts and the active one encrypts. There
// is no replay protection: the content must be idempotent, as membership updates are through their
// incarnation numbers.
package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/connectionid"
)

// Overhead is the number of bytes that sealing adds.
const Overhead = 1 + nonceSize + tagSize

const (
	nonceSize = 12
	tagSize   = 16
)

// Sealer seals and opens datagrams. It is immutable and safe for concurrent use.
type Sealer struct {
	active  uint8
	ciphers [connectionid.MaxKeys]cipher.AEAD
}

// ErrRefused is returned for a datagram that cannot be decrypted.
var ErrRefused = eris.New("datagram is not encrypted with a key of this fleet")

// New returns a sealer that encrypts with the key identified by active.
func New(active uint8, keys []connectionid.Key) (*Sealer, error) {
	sealer := &Sealer{active: active}
	for _, key := range keys {
		if key.Identifier >= connectionid.MaxKeys {
			return nil, eris.Errorf("key identifier %d: must be 0 to %d", key.Identifier, connectionid.MaxKeys-1)
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
	if active >= connectionid.MaxKeys || sealer.ciphers[active] == nil {
		return nil, eris.Errorf("active key %d: not in the key list", active)
	}
	return sealer, nil
}

// Load reads a sealer from a key file, which has the format of a keyring.
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

// Seal encrypts a datagram to key identifier, nonce, ciphertext and tag.
func (s *Sealer) Seal(plain []byte) []byte {
	sealed := make([]byte, 1+nonceSize, len(plain)+Overhead)
	sealed[0] = s.active
	if _, err := rand.Read(sealed[1:]); err != nil {
		panic(eris.Wrap(err, "read random nonce"))
	}
	return s.ciphers[s.active].Seal(sealed, sealed[1:1+nonceSize], plain, sealed[:1])
}

// Open decrypts a sealed datagram, or returns ErrRefused.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if len(sealed) < Overhead || sealed[0] >= connectionid.MaxKeys {
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
