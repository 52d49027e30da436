package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/connectionid"
)

// Files written by Initialize, besides the certificate pairs written by Issue.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
	KeyringFile      = "keyring.yaml"
	FleetKeyFile     = "fleet-key.yaml"
)

const (
	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
	clockSkewTolerance  = time.Hour
	serialBits          = 120
)

// Initialize creates a development certificate authority, one daemon and one operator certificate, a
// keyring and a fleet key in a directory. The daemon certificate is valid for all addresses. It fails
// if the directory has an authority.
func Initialize(directory string, addresses []netip.Addr, now time.Time) error {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return eris.Wrap(err, "create directory")
	}
	if _, err := os.Stat(filepath.Join(directory, AuthorityFile)); err == nil {
		return eris.Errorf("directory %s: already has a certificate authority; choose another directory or remove it", directory)
	}
	if err := makeAuthority(directory, now); err != nil {
		return err
	}
	if err := Issue(directory, "daemon", RoleDaemon, addresses, now); err != nil {
		return err
	}
	if err := Issue(directory, "operator", RoleOperator, nil, now); err != nil {
		return err
	}
	for _, name := range []string{KeyringFile, FleetKeyFile} {
		secret, err := newSecret()
		if err != nil {
			return err
		}
		keys := []connectionid.Key{{Identifier: 0, Secret: secret}}
		if err := connectionid.SaveKeyring(filepath.Join(directory, name), 0, keys); err != nil {
			return err
		}
	}
	return nil
}

// RotationStep is one of the three steps of a key rotation without downtime.
type RotationStep string

// RotationAdd distributes a new key, RotationActivate uses it for everything new, and RotationRemove
// removes the old keys once nothing uses them. Each step must reach all processes before the next.
const (
	RotationAdd      RotationStep = "add"
	RotationActivate RotationStep = "activate"
	RotationRemove   RotationStep = "remove"
)

// Rotate performs one rotation step on a key file. RotationAdd appends a random key, RotationActivate
// activates the last key of the file, and RotationRemove removes all but the active key.
func Rotate(path string, step RotationStep) error {
	active, keys, err := connectionid.LoadKeys(path)
	if err != nil {
		return err
	}
	switch step {
	case RotationAdd:
		if len(keys) >= connectionid.MaxKeys {
			return eris.Errorf("key file %s: already has the maximum of %d keys; remove the old ones first", path, len(keys))
		}
		secret, err := newSecret()
		if err != nil {
			return err
		}
		keys = append(keys, connectionid.Key{Identifier: unusedIdentifier(keys), Secret: secret})
	case RotationActivate:
		active = keys[len(keys)-1].Identifier
	case RotationRemove:
		for _, key := range keys {
			if key.Identifier == active {
				keys = []connectionid.Key{key}
				break
			}
		}
	default:
		return eris.Errorf("step %q: must be add, activate or remove", step)
	}
	return connectionid.SaveKeyring(path, active, keys)
}

func unusedIdentifier(keys []connectionid.Key) uint8 {
	used := map[uint8]bool{}
	for _, key := range keys {
		used[key.Identifier] = true
	}
	identifier := (keys[len(keys)-1].Identifier + 1) % connectionid.MaxKeys
	for used[identifier] {
		identifier = (identifier + 1) % connectionid.MaxKeys
	}
	return identifier
}

func newSecret() ([]byte, error) {
	secret := make([]byte, connectionid.KeySize)
	_, err := rand.Read(secret)
	return secret, eris.Wrap(err, "generate key secret")
}

func makeAuthority(directory string, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate authority key")
	}
	template, err := newTemplate("passtray development authority", now, authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return eris.Wrap(err, "create authority certificate")
	}
	return writeCertificateAndKey(directory, AuthorityFile, AuthorityKeyFile, encoded, key)
}

// Issue writes NAME.pem, a certificate signed by the directory's authority, and its key NAME-key.pem.
func Issue(directory, name string, role Role, addresses []netip.Addr, now time.Time) error {
	authority, authorityKey, err := readAuthority(directory)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate certificate key")
	}
	template, err := newTemplate(name, now, certificateLifetime)
	if err != nil {
		return err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return eris.Wrap(err, "create certificate")
	}
	return writeCertificateAndKey(directory, name+".pem", name+"-key.pem", encoded, key)
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func readAuthority(directory string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readPEM(filepath.Join(directory, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	authority, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, eris.Wrap(err, "parse authority certificate")
	}
	encodedKey, err := readPEM(filepath.Join(directory, AuthorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(encodedKey)
	return authority, key, eris.Wrap(err, "parse authority key")
}

func readPEM(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read PEM file")
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, eris.Errorf("%s: no PEM block found", path)
	}
	return block.Bytes, nil
}

func writeCertificateAndKey(directory, certificateName, keyName string, certificate []byte, key *ecdsa.PrivateKey) error {
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	if err := os.WriteFile(filepath.Join(directory, certificateName), certificatePEM, 0o644); err != nil {
		return eris.Wrap(err, "write certificate")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey})
	return eris.Wrap(os.WriteFile(filepath.Join(directory, keyName), keyPEM, 0o600), "write key")
}
