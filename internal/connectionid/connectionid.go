// Package connectionid encodes a route in a QUIC connection ID and decodes it, after
// draft-ietf-quic-load-balancers: three config rotation bits and one AES block with server ID and
// nonce. Any daemon can route a packet with such an ID without per-flow state.
package connectionid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"

	"github.com/rotisserie/eris"
)

const (
	// Length is the size in bytes of every issued connection ID: the first octet and one AES block.
	Length = 1 + aes.BlockSize
	// MaxKeys is the number of key identifiers. The draft reserves value 7 of the three
	// rotation bits for unroutable IDs.
	MaxKeys = 7
	// KeySize is the size in bytes of a key (AES-128, as the draft requires).
	KeySize = 16
	// NonceSize is the size in bytes of the nonce, which makes IDs unlinkable.
	NonceSize = 6

	configShift   = 5
	lengthMask    = 0x1f
	serviceOffset = 0
	targetOffset  = 4
	checkOffset   = 8
	nonceOffset   = 10
	encodedLength = Length - 1
)

// Route identifies the target that issued a connection ID. Both numbers are assigned by the
// configuration and never reused.
type Route struct {
	Service uint32
	Target  uint32
}

// Scratch is the working memory of one decoder. The caller provides it, since a buffer passed to a
// cipher through an interface would otherwise be allocated for every packet. It must not be shared
// between goroutines.
type Scratch [aes.BlockSize]byte

// Key is one key of a keyring.
type Key struct {
	// Identifier is the value of the rotation bits, 0 to 6.
	Identifier uint8
	// Secret is the AES-128 key, KeySize bytes.
	Secret []byte
}

// Keyring holds the keys that decode connection IDs and selects the one that encodes new ones. It
// is immutable; rotation replaces it.
type Keyring struct {
	active uint8
	blocks [MaxKeys]cipher.Block
}

// NewKeyring validates the keys and returns a keyring that encodes with the active one.
func NewKeyring(active uint8, keys []Key) (*Keyring, error) {
	keyring := &Keyring{active: active}
	for _, key := range keys {
		if key.Identifier >= MaxKeys {
			return nil, eris.Errorf("key identifier %d: must be 0 to %d", key.Identifier, MaxKeys-1)
		}
		if len(key.Secret) != KeySize {
			return nil, eris.Errorf("key %d: is %d bytes long, must be %d", key.Identifier, len(key.Secret), KeySize)
		}
		if keyring.blocks[key.Identifier] != nil {
			return nil, eris.Errorf("key identifier %d: duplicate", key.Identifier)
		}
		block, err := aes.NewCipher(key.Secret)
		if err != nil {
			return nil, eris.Wrapf(err, "key %d", key.Identifier)
		}
		keyring.blocks[key.Identifier] = block
	}
	if active >= MaxKeys || keyring.blocks[active] == nil {
		return nil, eris.Errorf("active key %d: is not among the keys", active)
	}
	return keyring, nil
}

// Encode returns a connection ID for a route. A nonce must not be reused with a key, or two IDs of
// one connection could be linked.
func (k *Keyring) Encode(route Route, nonce [NonceSize]byte) [Length]byte {
	var id [Length]byte
	id[0] = k.active<<configShift | encodedLength
	block := id[1:]
	binary.BigEndian.PutUint32(block[serviceOffset:], route.Service)
	binary.BigEndian.PutUint32(block[targetOffset:], route.Target)
	copy(block[nonceOffset:], nonce[:])
	k.blocks[k.active].Encrypt(block, block)
	return id
}

// Decode returns the route of a connection ID. It reports false for an ID that was not issued with
// one of the keys: its length is wrong, its key unknown, or its check bytes are not zero, as in a
// client's random first ID.
func (k *Keyring) Decode(id []byte, scratch *Scratch) (Route, bool) {
	if len(id) != Length || id[0]&lengthMask != encodedLength {
		return Route{}, false
	}
	identifier := id[0] >> configShift
	if identifier >= MaxKeys {
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
