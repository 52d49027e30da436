package environment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/storeview"
)

func targetEntry(key string, isDraining bool) storeview.Entry {
	return storeview.Entry{Key: key, Target: &storeview.Target{Service: "s", Draining: isDraining}}
}

func TestRestoreReusesRevisions(t *testing.T) {
	store := NewStore()
	store.Put(targetEntry("a", false))
	store.Put(targetEntry("b", false))
	backupAt := time.Now()
	time.Sleep(time.Millisecond)
	store.Put(targetEntry("a", true))
	store.Put(storeview.Entry{Key: "b"})
	store.Put(targetEntry("c", false))
	lost := store.Restore(backupAt)
	assert.Equal(t, len(lost), 3)
	assert.Assert(t, lost[0].Key == "a" && lost[0].Target.Draining)
	assert.Assert(t, lost[1].Key == "b" && lost[1].IsRemoval())
	assert.Equal(t, lost[2].Key, "c")

	watch := store.Do(t.Context(), &followed.Call{Kind: followed.CallWatch, AfterRevision: 5, Wait: time.Minute})
	assert.Equal(t, watch.Outcome, followed.OutcomeHistoryGone)
	assert.Equal(t, watch.Epoch, uint64(1))
	assert.Equal(t, store.Put(targetEntry("c", true)), uint64(3))
	for _, entry := range lost {
		store.Rewrite(entry)
	}
	list := store.Do(t.Context(), &followed.Call{Kind: followed.CallList})
	assert.Equal(t, list.Revision, uint64(5), "c was written since the restore and must not be written again")
	assert.Equal(t, len(list.Entries), 2)
	assert.Assert(t, list.Entries[0].Target.Draining && list.Entries[1].Target.Draining)
}
