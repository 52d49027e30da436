package outlier

import "time"

// tallyInterval is how long counts are reused. A recount visits all suspected targets, which is
// too expensive for each report when a seventh of 10,000 targets fail at once; meanwhile additions are counted
// incrementally, and expiries are missed.
const tallyInterval = 100 * time.Millisecond

// serviceReporter identifies a reporter of targets of a service.
type serviceReporter struct {
	reporter uint64
	service  string
}

// tally counts, per service, the suspected and ejected targets and the targets that each reporter
// reported.
type tally struct {
	at                time.Time
	reported          map[serviceReporter]int
	suspects, ejected map[string]int
}

// current returns counts that are at most tallyInterval old.
func (t *tally) current(now time.Time, suspects map[uint64]*suspect) *tally {
	if now.Sub(t.at) < tallyInterval && !now.Before(t.at) {
		return t
	}
	*t = tally{at: now, reported: map[serviceReporter]int{}, suspects: map[string]int{}, ejected: map[string]int{}}
	for _, suspected := range suspects {
		if now.Before(suspected.ejectedUntil) {
			t.ejected[suspected.service]++
		}
		isSuspected := false
		for reporter, item := range suspected.evidence {
			if item.isWithinWindow(now) {
				isSuspected = true
				t.reported[serviceReporter{reporter, suspected.service}]++
			}
		}
		if isSuspected {
			t.suspects[suspected.service]++
		}
	}
	return t
}

// record counts evidence that is about to be added against a target.
func (t *tally) record(now time.Time, suspected *suspect, reporter uint64) {
	if t.reported == nil {
		return
	}
	if !suspected.isSuspected(now) {
		t.suspects[suspected.service]++
	}
	if !suspected.isWithinWindow(now, reporter) {
		t.reported[serviceReporter{reporter, suspected.service}]++
	}
}
