package signals

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Any number of pending SIGHUPs must not displace a SIGTERM, as in a channel shared by both.
func TestHangupDoesNotDisplaceStop(t *testing.T) {
	for range 20 {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond) // the kernel coalesces pending signals of the same kind
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for name, channel := range map[string]<-chan os.Signal{"hangup": Received().Hangup, "stop": Received().Stop} {
		select {
		case <-channel:
		case <-time.After(10 * time.Second):
			t.Errorf("%s signal was lost", name)
		}
	}
}
