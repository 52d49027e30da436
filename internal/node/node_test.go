package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/backend"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/lab/workload"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/settings"
)

// site is a small site without a fabric: callers use the daemons' own addresses.
type site struct {
	keys     string
	settings []settings.Settings
	nodes    []*Node
}

var directService = netip.MustParseAddrPort("192.0.2.10:443")

// siteAddress differs between test processes, so that several may run at once.
func siteAddress(daemon, port int) netip.AddrPort {
	process := os.Getpid()
	address := netip.AddrFrom4([4]byte{127, byte(32 + process/256%28), byte(process), byte(10 + daemon)})
	return netip.AddrPortFrom(address, uint16(port))
}

func startSite(t *testing.T, daemons int, platformURL string) *site {
	t.Helper()
	built := &site{keys: filepath.Join(t.TempDir(), "keys")}
	var ips []netip.Addr
	var peers []netip.AddrPort
	for index := range daemons {
		ips = append(ips, siteAddress(index, 0).Addr())
		peers = append(peers, siteAddress(index, 7000))
	}
	assert.NilError(t, pki.Initialize(built.keys, ips, time.Now()))
	for index := range daemons {
		given := settings.Default()
		given.Region, given.Zone = "region", "zone"
		given.Control, given.Operator = siteAddress(index, 7000), siteAddress(index, 7001)
		given.Telemetry, given.Data.Backend = siteAddress(index, 7002), siteAddress(index, 7003)
		given.Data.Workers = 1
		given.Direct = []settings.Direct{{Listen: siteAddress(index, 8443), Service: directService}}
		given.Peers = peers
		given.Platform.URL = platformURL
		given.Platform.Interval = 200 * time.Millisecond
		given.TLS = settings.TLS{
			Authority:   filepath.Join(built.keys, pki.AuthorityFile),
			Certificate: filepath.Join(built.keys, "daemon.pem"), Key: filepath.Join(built.keys, "daemon-key.pem"),
		}
		given.Keyring = filepath.Join(built.keys, pki.KeyringFile)
		given.FleetKey = filepath.Join(built.keys, pki.FleetKeyFile)
		built.settings = append(built.settings, given)
		built.nodes = append(built.nodes, nil)
		built.start(t, index)
	}
	built.waitReady(t)
	return built
}

// start runs a daemon, after whatever ran there before was killed.
func (s *site) start(t *testing.T, index int) {
	t.Helper()
	node, err := Start(s.settings[index], logr.Discard(), Options{})
	assert.NilError(t, err)
	t.Cleanup(node.Kill)
	s.nodes[index] = node
}

// waitFor polls; the limit only ends a test that hangs.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 1500 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("waited in vain for %s", what)
}

func (s *site) waitReady(t *testing.T) {
	t.Helper()
	for _, node := range s.nodes {
		waitFor(t, "a ready daemon", func() bool { return node.Ready() == "" })
	}
}

// submit has a change accepted and in force on all daemons.
func (s *site) submit(t *testing.T, change catalog.Change) {
	t.Helper()
	var revision uint64
	waitFor(t, "an accepted change", func() bool {
		result, err := s.nodes[0].Submit(t.Context(), change)
		assert.NilError(t, err)
		if result.Status != control.ProposalDecided {
			return false
		}
		assert.Assert(t, result.Outcome.Refusal == nil, "%v", result.Outcome.Refusal)
		revision = result.Outcome.Revision
		return true
	})
	for _, node := range s.nodes {
		waitFor(t, "a revision in force", func() bool {
			state, _ := node.Configuration()
			return state.Revision >= revision
		})
	}
}

// startEcho runs a target that echoes streams.
func startEcho(t *testing.T, keys string, number int) *backend.Listener {
	t.Helper()
	certificate, err := workload.NewCertificate()
	assert.NilError(t, err)
	listener, err := backend.Listen(siteAddress(100, 9000+number), backend.Config{
		Service: "echo", Target: fmt.Sprint("echo-", number), KeyringPath: filepath.Join(keys, pki.KeyringFile),
		Slots: 2, MaximumConnections: 100,
	}, &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"echo"}}, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go serveEcho(connection)
		}
	}()
	return listener
}

func serveEcho(connection *quic.Conn) {
	for {
		stream, err := connection.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(stream, stream)
			_ = stream.Close()
		}()
	}
}

func dialEcho(ctx context.Context, address netip.AddrPort) (*quic.Conn, error) {
	return quic.DialAddr(ctx, address.String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"echo"}},
		&quic.Config{HandshakeIdleTimeout: 20 * time.Second})
}

func echo(ctx context.Context, connection *quic.Conn, text string) (string, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return "", err
	}
	if _, err := stream.Write([]byte(text)); err != nil {
		return "", err
	}
	_ = stream.Close()
	answer, err := io.ReadAll(stream)
	return string(answer), err
}

func addEcho(number int) catalog.Change {
	return catalog.Change{
		RequestIdentifier: fmt.Sprint("add-", number), Operation: catalog.AddTarget, Service: catalog.Service{Name: "echo"},
		Target: catalog.Target{Name: fmt.Sprint("echo-", number), Address: siteAddress(100, 9000+number), Zone: "zone", Weight: 100},
	}
}

var createEcho = catalog.Change{
	RequestIdentifier: "create", Operation: catalog.CreateService,
	Service: catalog.Service{Name: "echo", Address: directService, Protocol: catalog.ProtocolQUIC, Priority: catalog.PriorityCritical},
}

// TestASmallSiteWithoutAFabric has callers dial each of three daemons, so that
// first flights cross to their owners and replies come back by the daemon that
// the caller knows; and it rotates the keys under open connections.
func TestASmallSiteWithoutAFabric(t *testing.T) {
	site := startSite(t, 3, "")
	first, second := startEcho(t, site.keys, 1), startEcho(t, site.keys, 2)
	site.submit(t, createEcho)
	site.submit(t, addEcho(1))
	site.submit(t, addEcho(2))
	var connections []*quic.Conn
	for attempt := range 12 {
		connection, err := dialEcho(t.Context(), siteAddress(attempt%3, 8443))
		assert.NilError(t, err)
		connections = append(connections, connection)
	}
	handedOver := uint64(0)
	for _, node := range site.nodes {
		handedOver += node.Stats().Actions["handed_over"]
	}
	assert.Assert(t, handedOver > 0, "no first flight crossed to an owner")
	path := filepath.Join(site.keys, pki.KeyringFile)
	for _, step := range []pki.RotationStep{pki.RotationAdd, pki.RotationActivate} {
		assert.NilError(t, pki.Rotate(path, step))
		for _, node := range site.nodes {
			assert.NilError(t, node.ReloadKeys())
		}
		assert.NilError(t, first.ReloadKeyring())
		assert.NilError(t, second.ReloadKeyring())
	}
	for index, connection := range connections {
		text := fmt.Sprint("message ", index)
		answer, err := echo(t.Context(), connection, text)
		assert.NilError(t, err)
		assert.Equal(t, answer, text)
	}
	_, err := dialEcho(t.Context(), siteAddress(0, 8443))
	assert.NilError(t, err)
}

// TestNoTargetMeansRefusedAtOnce dials while both targets drain.
func TestNoTargetMeansRefusedAtOnce(t *testing.T) {
	site := startSite(t, 2, "")
	startEcho(t, site.keys, 3)
	site.submit(t, createEcho)
	site.submit(t, addEcho(3))
	connection, err := dialEcho(t.Context(), siteAddress(0, 8443))
	assert.NilError(t, err)
	site.submit(t, catalog.Change{
		RequestIdentifier: "drain", Operation: catalog.DrainTarget,
		Service: catalog.Service{Name: "echo"}, Target: catalog.Target{Name: "echo-3"},
	})
	for daemon := range site.nodes {
		_, err = dialEcho(t.Context(), siteAddress(daemon, 8443))
		var refusal *quic.TransportError
		assert.Assert(t, errors.As(err, &refusal), "daemon %d: %v", daemon, err)
		assert.Equal(t, refusal.ErrorCode, quic.ConnectionRefused)
	}
	answer, err := echo(t.Context(), connection, "still here")
	assert.NilError(t, err)
	assert.Equal(t, answer, "still here")
}

// TestPlatformDocumentsComeInThroughTheLog serves a document, changes a weight
// as an operator, and serves an older document again.
func TestPlatformDocumentsComeInThroughTheLog(t *testing.T) {
	address := siteAddress(150, 8080)
	stand, err := environment.StartPlatform(address, 0)
	assert.NilError(t, err)
	t.Cleanup(stand.Close)
	document := catalog.Document{
		Revision: 5,
		Services: []catalog.DocumentService{{Name: "echo", Address: directService, Protocol: catalog.ProtocolQUIC, Priority: catalog.PriorityCritical}},
		Targets:  []catalog.DocumentTarget{{Service: "echo", Name: "echo-1", Address: siteAddress(100, 9001), Zone: "zone", Weight: 100}},
	}
	stand.SetDocument(document)
	site := startSite(t, 3, "http://"+address.String())
	waitFor(t, "the import", func() bool {
		state, _ := site.nodes[2].Configuration()
		return state.Imported != nil && len(state.Targets) == 1
	})
	site.submit(t, catalog.Change{
		RequestIdentifier: "weigh", Operation: catalog.SetTargetWeight,
		Service: catalog.Service{Name: "echo"}, Target: catalog.Target{Name: "echo-1", Weight: 7},
	})
	older := document
	older.Revision = 4
	stand.SetDocument(older)
	newer := document
	newer.Revision = 6
	newer.Targets = append(newer.Targets, catalog.DocumentTarget{Service: "echo", Name: "echo-2", Address: siteAddress(100, 9002), Zone: "zone", Weight: 100})
	stand.SetDocument(newer)
	waitFor(t, "the newer import", func() bool {
		state, _ := site.nodes[1].Configuration()
		return len(state.Targets) == 2
	})
	state, _ := site.nodes[1].Configuration()
	assert.Equal(t, state.Targets[0].Weight, uint32(7), "an import took an operator's call back")
}
