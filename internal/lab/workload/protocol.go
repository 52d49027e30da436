// Package workload simulates the lab's application: callers and targets that exchange requests over
// QUIC streams and record events in a history.
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

// kind is the type of a request.
type kind uint8

const (
	// kindOnce is a non-idempotent request.
	kindOnce kind = iota + 1
	// kindFeed subscribes to events until the caller closes the stream.
	kindFeed
	// kindUpload is a request with a body.
	kindUpload
)

// request is the first message on a stream.
type request struct {
	Kind    kind   `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
	Attempt string `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
	// DeadlineMilliseconds is how long the request may be queued; a target that can't
	// start it in time responds with NotRun.
	DeadlineMilliseconds uint32 `cbor:"5,keyasint,omitempty"`
	// ResponseSize is the size of the response's payload in bytes.
	ResponseSize uint32 `cbor:"6,keyasint,omitempty"`
}

// response is the reply to a request. The checksum covers the request's ID too, which
// detects responses to other requests.
type response struct {
	ID       string `cbor:"1,keyasint"`
	NotRun   bool   `cbor:"2,keyasint,omitempty"`
	Target   string `cbor:"3,keyasint"`
	Payload  []byte `cbor:"4,keyasint,omitempty"`
	Checksum uint32 `cbor:"5,keyasint,omitempty"`
	// RetryAfterMilliseconds is the delay after which a rejected request may be retried.
	RetryAfterMilliseconds uint32 `cbor:"6,keyasint,omitempty"`
}

// feedEvent is one message of a feed.
type feedEvent struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
}

func checksumOf(id string, payload []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte(id)), crc32.IEEETable, payload)
}

const certificateLifetime = 24 * time.Hour

// NewCertificate creates a self-signed certificate for the lab's targets.
func NewCertificate() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate key of lab targets")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{serverName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "create certificate of lab targets")
	}
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key}, nil
}

const serverName = "lab.invalid"

// applicationProtocol returns a service's ALPN protocol. It differs between services so that a
// handshake with another service's target fails.
func applicationProtocol(service string) string { return "lab/" + service }
