package connectionid

import (
	"encoding/hex"
	"os"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// keyringDocument is the YAML form of a keyring.
type keyringDocument struct {
	Active uint8         `yaml:"active"`
	Keys   []keyDocument `yaml:"keys"`
}

type keyDocument struct {
	Identifier uint8  `yaml:"id"`
	Secret     string `yaml:"secret"`
}

// LoadKeys reads the active identifier and all keys from a key file. An unknown field is an error.
func LoadKeys(path string) (uint8, []Key, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, nil, eris.Wrap(err, "key file")
	}
	defer func() { _ = file.Close() }()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var content keyringDocument
	if err := decoder.Decode(&content); err != nil {
		return 0, nil, eris.Wrapf(err, "key file %s", path)
	}
	keys := make([]Key, 0, len(content.Keys))
	for _, entry := range content.Keys {
		secret, err := hex.DecodeString(entry.Secret)
		if err != nil {
			return 0, nil, eris.Wrapf(err, "key file %s: key %d", path, entry.Identifier)
		}
		keys = append(keys, Key{Identifier: entry.Identifier, Secret: secret})
	}
	return content.Active, keys, nil
}

// LoadKeyring reads a keyring from its file.
func LoadKeyring(path string) (*Keyring, error) {
	active, keys, err := LoadKeys(path)
	if err != nil {
		return nil, err
	}
	keyring, err := NewKeyring(active, keys)
	if err != nil {
		return nil, eris.Wrapf(err, "keyring %s", path)
	}
	return keyring, nil
}

// SaveKeyring writes a keyring file that only the owner can read.
func SaveKeyring(path string, active uint8, keys []Key) error {
	content := keyringDocument{Active: active}
	for _, key := range keys {
		content.Keys = append(content.Keys, keyDocument{Identifier: key.Identifier, Secret: hex.EncodeToString(key.Secret)})
	}
	encoded, err := yaml.Marshal(content)
	if err != nil {
		return eris.Wrap(err, "keyring")
	}
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return eris.Wrap(err, "keyring")
	}
	return nil
}
