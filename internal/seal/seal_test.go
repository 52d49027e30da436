package seal

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/connectionid"
)

func TestOpenRefusesUnknownKeysAndModifiedDatagrams(t *testing.T) {
	old := connectionid.Key{Identifier: 0, Secret: bytes.Repeat([]byte{1}, 16)}
	added := connectionid.Key{Identifier: 1, Secret: bytes.Repeat([]byte{2}, 16)}
	before, err := New(0, []connectionid.Key{old})
	assert.NilError(t, err)
	overlap, err := New(1, []connectionid.Key{old, added})
	assert.NilError(t, err)
	sealed := before.Seal([]byte("ping"))
	plain, err := overlap.Open(sealed)
	assert.NilError(t, err)
	assert.Equal(t, string(plain), "ping")
	_, err = before.Open(overlap.Seal([]byte("ping")))
	assert.ErrorIs(t, err, ErrRefused)
	for index := range sealed {
		changed := bytes.Clone(sealed)
		changed[index] ^= 1
		_, err := overlap.Open(changed)
		assert.ErrorIs(t, err, ErrRefused, "byte %d changed", index)
	}
	_, err = overlap.Open(sealed[:Overhead-1])
	assert.ErrorIs(t, err, ErrRefused)
}
