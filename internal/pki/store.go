// Package pki provides TLS configurations from a process's certificate and the fleet's certificate
// authority, reloads them without a restart, and creates development certificates and keys.
package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Role is the role that a certificate authorizes. It is an organizational unit of the subject.
type Role string

const (
	RoleDaemon   Role = "daemon"
	RoleOperator Role = "operator"
)

// Files are the paths of a process's PEM files.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

type certificates struct {
	authority   *x509.CertPool
	certificate tls.Certificate
}

// Store holds the certificates that were last loaded successfully. It is safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[certificates]
}

func Load(files Files) (*Store, error) {
	store := &Store{files: files}
	if err := store.Reload(); err != nil {
		return nil, err
	}
	return store, nil
}

// Reload reads the files again. On an error the store keeps the previous certificates.
func (s *Store) Reload() error {
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return eris.Wrap(err, "tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return eris.Errorf("tls.authority: %s: no certificate found", s.files.Authority)
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return eris.Wrapf(err, "tls.certificate %s with tls.key %s", s.files.Certificate, s.files.Key)
	}
	s.current.Store(&certificates{authority: pool, certificate: certificate})
	return nil
}

// Server returns a server configuration that requires a client certificate with one of the roles. New
// connections use the certificates of the latest reload.
func (s *Store) Server(protocols []string, roles ...Role) *tls.Config {
	build := func() *tls.Config {
		loaded := s.current.Load()
		return &tls.Config{
			MinVersion:            tls.VersionTLS13,
			Certificates:          []tls.Certificate{loaded.certificate},
			ClientAuth:            tls.RequireAndVerifyClientCert,
			ClientCAs:             loaded.authority,
			NextProtos:            protocols,
			VerifyPeerCertificate: verifyRole(roles),
		}
	}
	config := build()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return build(), nil }
	return config
}

// Client returns the configuration for one connection to a server whose certificate must have the role
// and serverName, an IP address as text.
func (s *Store) Client(serverName string, role Role) *tls.Config {
	loaded := s.current.Load()
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{loaded.certificate},
		RootCAs:               loaded.authority,
		ServerName:            serverName,
		VerifyPeerCertificate: verifyRole([]Role{role}),
	}
}

func verifyRole(roles []Role) func([][]byte, [][]*x509.Certificate) error {
	return func(_ [][]byte, chains [][]*x509.Certificate) error {
		for _, chain := range chains {
			for _, unit := range chain[0].Subject.OrganizationalUnit {
				if slices.Contains(roles, Role(unit)) {
					return nil
				}
			}
		}
		return eris.Errorf("certificate has none of the roles %v", roles)
	}
}
