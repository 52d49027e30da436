package storenode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
)

// newPullingLink returns a link without a configuration that can pull from peers.
func newPullingLink() *peerLink {
	link := newTestLink()
	link.client, link.startClient = newPullClient(20*time.Second), newPullClient(20*time.Second)
	return link
}

// newFakePeer starts a fake peer and returns a pull from it.
func newFakePeer(t *testing.T, handle http.HandlerFunc) *followed.Pull {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return &followed.Pull{From: address, Hold: time.Second, FirstByteTimeout: time.Hour, Timeout: time.Hour}
}

// Waiting pulls are canceled once an answer begins to arrive; otherwise each peer sends a snapshot and
// only one is used. The first answer must survive that cancellation.
func TestWaitingPullsAreCanceledByAnswer(t *testing.T) {
	content, err := (&deltaCache{}).encode(time.Now(), newSnapshot(4400, 150))
	assert.NilError(t, err)
	requested, canceled := make(chan struct{}), make(chan struct{})
	waiting := newFakePeer(t, func(_ http.ResponseWriter, request *http.Request) {
		close(requested)
		<-request.Context().Done()
		close(canceled)
	})
	answering := newFakePeer(t, func(writer http.ResponseWriter, _ *http.Request) {
		<-requested
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content[:1])
		writer.(http.Flusher).Flush()
		<-canceled
		_, _ = writer.Write(content[1:])
	})
	link := newPullingLink()
	ended := make(chan *followed.Delta)
	go func() { ended <- link.pull(context.Background(), waiting) }()
	assert.Assert(t, link.pull(t.Context(), answering) != nil)
	assert.Assert(t, <-ended == nil)
}

func TestPullSucceedsAfterFailedAnswer(t *testing.T) {
	content, err := (&deltaCache{}).encode(time.Now(), newSnapshot(4400, 150))
	assert.NilError(t, err)
	failing := newFakePeer(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content[:1])
	})
	working := newFakePeer(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(content) })
	link := newPullingLink()
	assert.Assert(t, link.pull(t.Context(), failing) == nil)
	assert.Assert(t, link.pull(t.Context(), working) != nil)
}
