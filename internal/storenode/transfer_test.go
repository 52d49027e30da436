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

// newAskingLink returns a link without a configuration that can pull from peers.
func newAskingLink() *peerLink {
	link := newTestLink()
	link.client, link.startClient = newPullClient(20*time.Second), newPullClient(20*time.Second)
	return link
}

// peer starts a fake peer and returns a pull from it.
func peer(t *testing.T, handle http.HandlerFunc) *followed.Pull {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return &followed.Pull{From: address, Hold: time.Second, FirstByte: time.Hour, Timeout: time.Hour}
}

// Waiting pulls are canceled once an answer begins to arrive; otherwise each peer sends a snapshot and
// only one is used. The first answer must survive that cancellation.
func TestQuestionsAreTakenBackOnceAnAnswerComes(t *testing.T) {
	content, err := (&deltaCache{}).encode(time.Now(), newWholeDelta(4400, 150))
	assert.NilError(t, err)
	asked, takenBack := make(chan struct{}), make(chan struct{})
	waiting := peer(t, func(_ http.ResponseWriter, request *http.Request) {
		close(asked)
		<-request.Context().Done()
		close(takenBack)
	})
	answering := peer(t, func(writer http.ResponseWriter, _ *http.Request) {
		<-asked
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content[:1])
		writer.(http.Flusher).Flush()
		<-takenBack
		_, _ = writer.Write(content[1:])
	})
	link := newAskingLink()
	ended := make(chan *followed.Delta)
	go func() { ended <- link.pull(context.Background(), waiting) }()
	assert.Assert(t, link.pull(t.Context(), answering) != nil)
	assert.Assert(t, <-ended == nil)
}

func TestAfterAnAnswerThatFailedPeersAreAskedAgain(t *testing.T) {
	content, err := (&deltaCache{}).encode(time.Now(), newWholeDelta(4400, 150))
	assert.NilError(t, err)
	failing := peer(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = writer.Write(content[:1])
	})
	working := peer(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write(content) })
	link := newAskingLink()
	assert.Assert(t, link.pull(t.Context(), failing) == nil)
	assert.Assert(t, link.pull(t.Context(), working) != nil)
}
