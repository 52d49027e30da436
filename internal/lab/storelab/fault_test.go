package storelab

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Regression seeds are of use only as long as they draw the same schedules.
func TestSeedDrawsSameSchedule(t *testing.T) {
	config := DefaultConfig()
	drawn := append(Faults(201, config.Faults, config.FaultPeriod), Series(201, config.Series, config.FaultPeriod)...)
	slices.SortStableFunc(drawn, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	var schedule []string
	for _, fault := range drawn {
		schedule = append(schedule, fmt.Sprint(fault))
	}
	assert.Equal(t, config.FaultPeriod, 14*time.Second)
	assert.DeepEqual(t, schedule, []string{
		"store-one-way at 4.6 s (41feaf445c9a7bef)",
		"all at 5.0 s (c6d8749cc1f39be4)",
		"store-refuses at 6.5 s (a6fadbe95e233cac)",
		"all at 8.1 s (bbe9d2bb59c21b59)",
		"drop-route at 8.2 s (ee4eeaeec4abc7c0)",
		"terms at 8.2 s (163de12c57ca6518)",
		"store-one-way at 8.4 s (9a5372a2ee97a749)",
		"freeze at 8.6 s (b774a70b01b30e9a)",
		"hangup-at-start at 10.2 s (e93734c54b2d5810)",
		"hangups at 10.3 s (703b2e690fbdb56e)",
		"freeze-in-stop at 10.8 s (c0d3f6f42b577929)",
		"all at 16.0 s (95d1ef91494f05a0)",
	})
}

func TestSeedDrawsSameTargetFaults(t *testing.T) {
	config := DefaultConfig()
	var schedule []string
	for _, fault := range TargetFaults(5001, config.TargetFaults, config.FaultPeriod) {
		schedule = append(schedule, fmt.Sprint(fault))
	}
	assert.DeepEqual(t, schedule, []string{
		"leave-cold at 11.9 s (2cfbe4b7fd92ff30)",
		"crash-write-late at 13.4 s (4a243e5eeb5b5420)",
		"crash-write-late at 9.6 s (fdfc43efde32659a)",
	})
}

func TestSeedDrawsSameEntryFaults(t *testing.T) {
	config := DefaultConfig()
	var schedule []string
	for _, fault := range EntryFaults(9003, config.EntryFaults, config.FaultPeriod) {
		schedule = append(schedule, fmt.Sprint(fault))
	}
	assert.DeepEqual(t, schedule, []string{
		"invalid-entries at 13.7 s (463c832f74d4f83)",
		"crash-unlisted at 8.3 s (7d4633752198b5e)",
		"invalid-entries at 10.8 s (224623fa7675c19d)",
	})
}
