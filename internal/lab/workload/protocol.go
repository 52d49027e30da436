// Package workload is the lab's application: callers and targets that speak a
// small request protocol over ordinary QUIC streams, and record what they did.
package workload

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"hash/crc32"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// kind is what a request asks for.
type kind uint8

const (
	// kindOnce is a request that may not be repeated.
	kindOnce kind = iota + 1
	// kindFeed asks for events until the caller goes.
	kindFeed
	// kindUpload carries a body that must not vanish.
	kindUpload
)

// request is the first item of a stream.
type request struct {
	Kind    kind   `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
	// DeadlineMilliseconds is how long the caller will wait; a target that
	// cannot begin in time says that it did not.
	DeadlineMilliseconds uint32 `cbor:"5,keyasint,omitempty"`
	// AnswerSize is how many bytes the answer is to hold.
	AnswerSize uint32 `cbor:"6,keyasint,omitempty"`
}

// response answers a request. Payload's checksum covers the request's ID, so
// that another request's answer is told apart.
type response struct {
	ID       string `cbor:"1,keyasint"`
	NotRun   bool   `cbor:"2,keyasint,omitempty"`
	Target   string `cbor:"3,keyasint"`
	Payload  []byte `cbor:"4,keyasint,omitempty"`
	Checksum uint32 `cbor:"5,keyasint,omitempty"`
	// RetryAfterMilliseconds tells a caller that was turned away when to come
	// back.
	RetryAfterMilliseconds uint32 `cbor:"6,keyasint,omitempty"`
}

// feedEvent is one item of a feed.
type feedEvent struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
}

func checksumOf(id string, payload []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte(id)), crc32.IEEETable, payload)
}

const certificateLifetime = 24 * time.Hour

// NewCertificate makes a self-signed certificate for the lab's targets.
func NewCertificate() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "lab key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{serverName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "lab certificate")
	}
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key}, nil
}

const serverName = "lab.invalid"

// applicationProtocol makes a handshake with another service's target fail.
func applicationProtocol(service string) string { return "lab/" + service }
