package storenode

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/storeview"
)

func TestLogLineListsBoundedNumberOfTargets(t *testing.T) {
	var changed changedTargets
	for number := range 30 {
		changed.add(&storeview.Change{Details: []string{fmt.Sprint("target-", number, " open")}, Omitted: 1})
	}
	assert.Equal(t, len(changed.details), maxLoggedTargets)
	assert.Equal(t, changed.details[0], "target-0 open")
	assert.Equal(t, changed.omitted, 30+10)
}
