package connectionid

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestKeyring(t testing.TB, active uint8, identifiers ...uint8) *Keyring {
	t.Helper()
	var keys []Key
	for _, identifier := range identifiers {
		keys = append(keys, Key{Identifier: identifier, Secret: bytes.Repeat([]byte{identifier + 1}, KeySize)})
	}
	ring, err := NewKeyring(active, keys)
	assert.NilError(t, err)
	return ring
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	ring := newTestKeyring(t, 2, 0, 2)
	rapid.Check(t, func(t *rapid.T) {
		route := Route{Service: rapid.Uint32().Draw(t, "service"), Target: rapid.Uint32().Draw(t, "target")}
		var nonce [NonceSize]byte
		copy(nonce[:], rapid.SliceOfN(rapid.Byte(), NonceSize, NonceSize).Draw(t, "nonce"))
		id := ring.Encode(route, nonce)
		decoded, ok := ring.Decode(id[:], new(Scratch))
		if !ok || decoded != route {
			t.Fatalf("got %v %v, want %v", decoded, ok, route)
		}
	})
}

func TestRotationOverlapDecodesOldKey(t *testing.T) {
	before := newTestKeyring(t, 0, 0)
	overlap := newTestKeyring(t, 1, 0, 1)
	after := newTestKeyring(t, 1, 1)
	id := before.Encode(Route{Service: 1, Target: 2}, [NonceSize]byte{9})
	_, ok := overlap.Decode(id[:], new(Scratch))
	assert.Assert(t, ok, "an ID of the old key must be decodable during the overlap")
	_, ok = after.Decode(id[:], new(Scratch))
	assert.Assert(t, !ok, "an ID of a removed key must be unroutable")
}

func TestRandomIDsAreUnroutable(t *testing.T) {
	ring := newTestKeyring(t, 0, 0, 1, 2, 3, 4, 5, 6)
	random := rand.New(rand.NewPCG(1, 2))
	routable := 0
	const samples = 200_000
	for range samples {
		var id [Length]byte
		for index := range id {
			id[index] = byte(random.Uint32())
		}
		if _, ok := ring.Decode(id[:], new(Scratch)); ok {
			routable++
		}
	}
	// One in 32 has the right length bits, 7 in 8 a known key, one in 65,536 zero check bytes.
	assert.Assert(t, routable <= 3, "%d of %d random IDs were decoded", routable, samples)
}

func TestNewKeyringErrors(t *testing.T) {
	good := bytes.Repeat([]byte{1}, KeySize)
	for _, test := range []struct {
		active  uint8
		keys    []Key
		message string
	}{
		{0, []Key{{7, good}}, "key identifier 7"},
		{0, []Key{{0, good[:5]}}, "is 5 bytes long"},
		{0, []Key{{0, good}, {0, good}}, "duplicate"},
		{3, []Key{{0, good}}, "active key 3"},
	} {
		_, err := NewKeyring(test.active, test.keys)
		assert.ErrorContains(t, err, test.message)
	}
}

func BenchmarkDecode(b *testing.B) {
	ring := newTestKeyring(b, 0, 0)
	id := ring.Encode(Route{Service: 1, Target: 2}, [NonceSize]byte{1})
	scratch := new(Scratch)
	b.ReportAllocs()
	for b.Loop() {
		ring.Decode(id[:], scratch)
	}
}
