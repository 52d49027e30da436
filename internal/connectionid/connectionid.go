// Package connectionid encodes a route into a QUIC connection ID and reads it
// back, after draft-ietf-quic-load-balancers: three configuration rotation bits
// and one AES block that holds server ID and nonce. A packet that carries such
// an ID can be routed by any daemon without per-flow state.
package connectionid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// Length is the size in bytes of every connection ID issued here: one first
	// octet and one AES block.
	Length = 1 + aes.BlockSize
	// MaximumKeys is the number of key identifiers: three rotation bits, of
	// which the draft reserves the value 7 for unroutable IDs.
	MaximumKeys = 7
	// KeySize is the size in bytes of a key (AES-128, as the draft demands).
	KeySize = 16
	// NonceSize is the size in bytes of the nonce that makes IDs unlinkable.
	NonceSize = 6

	rotationShift  = 5
	lengthMask     = 0x1f
	serviceOffset  = 0
	targetOffset   = 4
	checkOffset    = 8
	nonceOffset    = 10
	expectedLength = Length - 1
)

// Route names the target that issued a connection ID. Both numbers are allotted
// by the configuration and never used again.
type Route struct {
	Service uint32
	Target  uint32
}

// Scratch is the working memory of one decoder. It is passed in because a
// buffer handed to a cipher through an interface would otherwise be allocated
// for every packet. It must not be shared between goroutines.
type Scratch [aes.BlockSize]byte

// Key is one entry of a keyring.
type Key struct {
	// Identifier is the value of the rotation bits, 0 to 6.
	Identifier uint8
	// Secret is the AES-128 key, KeySize bytes.
	Secret []byte
}

// Keyring holds the keys under which connection IDs are read, and the one under
// which new ones are issued. It is immutable: rotation replaces it whole.
type Keyring struct {
	active uint8
	blocks [MaximumKeys]cipher.Block
}

// NewKeyring checks the keys and makes a keyring that issues under active.
func NewKeyring(active uint8, keys []Key) (*Keyring, error) {
	keyring := &Keyring{active: active}
	for _, key := range keys {
		if key.Identifier >= MaximumKeys {
			return nil, eris.Errorf("key identifier %d: must be 0 to %d", key.Identifier, MaximumKeys-1)
		}
		if len(key.Secret) != KeySize {
			return nil, eris.Errorf("key %d: is %d bytes long, must be %d", key.Identifier, len(key.Secret), KeySize)
		}
		if keyring.blocks[key.Identifier] != nil {
			return nil, eris.Errorf("key identifier %d: stands twice", key.Identifier)
		}
		block, err := aes.NewCipher(key.Secret)
		if err != nil {
			return nil, eris.Wrapf(err, "key %d", key.Identifier)
		}
		keyring.blocks[key.Identifier] = block
	}
	if active >= MaximumKeys || keyring.blocks[active] == nil {
		return nil, eris.Errorf("active key %d: is not among the keys", active)
	}
	return keyring, nil
}

// Encode returns the connection ID that routes to route. The nonce must not
// repeat under one key, or two IDs of one connection could be linked.
func (k *Keyring) Encode(route Route, nonce [NonceSize]byte) [Length]byte {
	var id [Length]byte
	id[0] = k.active<<rotationShift | expectedLength
	block := id[1:]
	binary.BigEndian.PutUint32(block[serviceOffset:], route.Service)
	binary.BigEndian.PutUint32(block[targetOffset:], route.Target)
	copy(block[nonceOffset:], nonce[:])
	k.blocks[k.active].Encrypt(block, block)
	return id
}

// Decode reads the route out of a connection ID. It reports false for an ID
// that was not issued under any key held: a wrong length, an unknown key, or
// check bytes that are not zero, as a client's random first ID has.
func (k *Keyring) Decode(id []byte, scratch *Scratch) (Route, bool) {
	if len(id) != Length || id[0]&lengthMask != expectedLength {
		return Route{}, false
	}
	identifier := id[0] >> rotationShift
	if identifier >= MaximumKeys {
		return Route{}, false
	}
	cipherBlock := k.blocks[identifier]
	if cipherBlock == nil {
		return Route{}, false
	}
	copy(scratch[:], id[1:])
	cipherBlock.Decrypt(scratch[:], scratch[:])
	if scratch[checkOffset] != 0 || scratch[checkOffset+1] != 0 {
		return Route{}, false
	}
	route := Route{
		Service: binary.BigEndian.Uint32(scratch[serviceOffset:]),
		Target:  binary.BigEndian.Uint32(scratch[targetOffset:]),
	}
	return route, true
}
