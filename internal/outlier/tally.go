package outlier

import "time"

// tallyInterval is how long counts are reused. A recount visits all suspected targets, which is
// too expensive for each report when many targets fail at once; meanwhile additions are counted
// incrementally, and expiries are missed.
const tallyInterval = 100 * time.Millisecond

// accuser identifies a reporter of targets of a service.
type accuser struct {
	reporter uint64
	service  string
}

// tally counts, per service, the suspected and ejected targets and the targets that each reporter
// reported.
type tally struct {
	at                time.Time
	accused           map[accuser]int
	suspects, ejected map[string]int
}

// of returns counts that are at most tallyInterval old.
func (t *tally) of(now time.Time, suspects map[uint64]*suspect) *tally {
	if now.Sub(t.at) < tallyInterval && !now.Before(t.at) {
		return t
	}
	*t = tally{at: now, accused: map[accuser]int{}, suspects: map[string]int{}, ejected: map[string]int{}}
	for _, suspected := range suspects {
		if now.Before(suspected.ejectedUntil) {
			t.ejected[suspected.service]++
		}
		isSuspected := false
		for reporter, word := range suspected.evidence {
			if word.counts(now) {
				isSuspected = true
				t.accused[accuser{reporter, suspected.service}]++
			}
		}
		if isSuspected {
			t.suspects[suspected.service]++
		}
	}
	return t
}

// note counts evidence that is about to be added against a target.
func (t *tally) note(now time.Time, suspected *suspect, reporter uint64) {
	if t.accused == nil {
		return
	}
	if !suspected.isSuspected(now) {
		t.suspects[suspected.service]++
	}
	if !suspected.counts(now, reporter) {
		t.accused[accuser{reporter, suspected.service}]++
	}
}
