// Package pki holds a process's certificate and its fleet's authority, makes
// TLS configurations from them, and reloads them without a restart.
package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Role is what a certificate lets its holder be. It stands in the subject's
// organizational unit.
type Role string

// The roles.
const (
	RoleDaemon   Role = "daemon"
	RoleOperator Role = "operator"
)

// Files names the PEM files of one process.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

type material struct {
	authority   *x509.CertPool
	certificate tls.Certificate
}

// Store holds what was loaded last. It is safe for concurrent use.
type Store struct {
	files   Files
	current atomic.Pointer[material]
}

// Load reads the files.
func Load(files Files) (*Store, error) {
	store := &Store{files: files}
	if err := store.Reload(); err != nil {
		return nil, err
	}
	return store, nil
}

// Reload reads the files again; on an error what was loaded before stays.
func (s *Store) Reload() error {
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return eris.Wrap(err, "tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return eris.Errorf("tls.authority: %s holds no certificate", s.files.Authority)
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return eris.Wrapf(err, "tls.certificate %s with tls.key %s", s.files.Certificate, s.files.Key)
	}
	s.current.Store(&material{authority: pool, certificate: certificate})
	return nil
}

// Server returns a configuration that asks every client for a certificate of
// one of the roles. Connections made after a reload use what was reloaded.
func (s *Store) Server(protocols []string, roles ...Role) *tls.Config {
	build := func() *tls.Config {
		held := s.current.Load()
		return &tls.Config{
			MinVersion:            tls.VersionTLS13,
			Certificates:          []tls.Certificate{held.certificate},
			ClientAuth:            tls.RequireAndVerifyClientCert,
			ClientCAs:             held.authority,
			NextProtos:            protocols,
			VerifyPeerCertificate: verifyRole(roles),
		}
	}
	config := build()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return build(), nil }
	return config
}

// Client returns a configuration for one connection to a server of a role,
// which must have serverName, an IP address in text, among its names.
func (s *Store) Client(serverName string, role Role) *tls.Config {
	held := s.current.Load()
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{held.certificate},
		RootCAs:               held.authority,
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
		return eris.Errorf("certificate is for none of the roles %v", roles)
	}
}
