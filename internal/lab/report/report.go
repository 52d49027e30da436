package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/statistics"
)

// Latency is one class's distribution in milliseconds.
type Latency struct {
	Service string  `json:"service"`
	Class   string  `json:"class"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	Highest float64 `json:"max_ms"`
}

// ServiceImbalance is a service's imbalance, the mean over the run's samples.
type ServiceImbalance struct {
	Service     string               `json:"service"`
	Connections statistics.Imbalance `json:"connections"`
	BusySlots   statistics.Imbalance `json:"busy_slots"`
}

// Runs counts requests by how often they ran against what callers were told.
type Runs struct {
	Answered   int `json:"answered"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Wrong      int `json:"wrong"`
	RanOnce    int `json:"ran_once"`
	RanMore    int `json:"ran_more_than_once"`
	UnknownRan int `json:"unknown_that_ran"`
}

// Report is everything a run showed.
type Report struct {
	Mode              string             `json:"mode"`
	Seed              uint64             `json:"seed"`
	Seconds           float64            `json:"seconds"`
	Dials             uint64             `json:"dials"`
	FailedDials       uint64             `json:"failed_dials"`
	Attempts          uint64             `json:"handshakes_begun_at_targets"`
	FeedsOpened       int                `json:"feeds_opened"`
	FeedsBroken       int                `json:"feeds_broken"`
	ForeignPackets    int                `json:"foreign_packets"`
	AcceptedByTargets int                `json:"connections_accepted_by_targets"`
	Runs              Runs               `json:"runs"`
	Latencies         []Latency          `json:"latencies"`
	Imbalance         []ServiceImbalance `json:"imbalance"`
	// ControlBytesPerSecond is per daemon; the mean and the highest.
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second_mean"`
	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max"`
	// CoreShareMax and ResidentBytesMax are of the costliest daemon, forwarding
	// and control together; 0 where daemons share the lab's process.
	CoreShareMax     float64 `json:"daemon_core_share_max"`
	ResidentBytesMax float64 `json:"daemon_resident_bytes_max"`
	// LongestStall is how late a timer of the lab came at worst, StalledSeconds
	// the sum of all that was above the ordinary: what the machine, not passtray,
	// held back.
	LongestStall   float64 `json:"longest_stall_seconds"`
	StalledSeconds float64 `json:"stalled_seconds"`
	// ProcessCPUSeconds is of the whole process: daemons, targets and callers.
	ProcessCPUSeconds float64           `json:"process_cpu_seconds"`
	Actions           map[string]uint64 `json:"actions"`
	Drops             map[string]uint64 `json:"drops"`
	Verdicts          []history.Verdict `json:"verdicts"`

	samples   map[string][]sample
	lastLoads map[string][]TargetLoad
}

// Holds reports whether every invariant holds.
func (r *Report) Holds() bool {
	for index := range r.Verdicts {
		if !r.Verdicts[index].Holds() {
			return false
		}
	}
	return true
}

// StrayHandshakes is how many handshakes were begun at targets and not ended
// there, per thousand dials.
func (r *Report) StrayHandshakes() float64 {
	if r.Dials == 0 || r.Attempts <= uint64(r.AcceptedByTargets) {
		return 0
	}
	return 1000 * float64(r.Attempts-uint64(r.AcceptedByTargets)) / float64(r.Dials)
}

func (r *Report) countEvents(events []history.Event) {
	ran := map[string]int{}
	for _, event := range events {
		switch event.Kind {
		case history.FeedOpened:
			r.FeedsOpened++
		case history.FeedBroken:
			r.FeedsBroken++
		case history.PacketForeign:
			r.ForeignPackets++
		case history.ConnectionOpened:
			r.AcceptedByTargets++
		case history.RequestRun:
			ran[event.Request]++
		}
	}
	for _, event := range events {
		if event.Kind != history.CallReturned {
			continue
		}
		switch event.Outcome {
		case history.OutcomeAnswered:
			r.Runs.Answered++
		case history.OutcomeNotRun:
			r.Runs.NotRun++
		case history.OutcomeWrong:
			r.Runs.Wrong++
		case history.OutcomeUnknown:
			r.Runs.Unknown++
			if ran[event.Request] > 0 {
				r.Runs.UnknownRan++
			}
		}
	}
	for _, count := range ran {
		if count == 1 {
			r.Runs.RanOnce++
		} else {
			r.Runs.RanMore++
		}
	}
}

func (r *Report) addLatencies(histograms map[latencyKey]*hdrhistogram.Histogram) {
	const microsecondsPerMillisecond = 1000
	for key, histogram := range histograms {
		at := func(quantile float64) float64 {
			return float64(histogram.ValueAtQuantile(quantile)) / microsecondsPerMillisecond
		}
		r.Latencies = append(r.Latencies, Latency{
			Service: key.service, Class: key.class, Count: histogram.TotalCount(),
			P50: at(50), P90: at(90), P99: at(99), Highest: float64(histogram.Max()) / microsecondsPerMillisecond,
		})
	}
	slices.SortFunc(r.Latencies, func(a, b Latency) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
}

func (r *Report) addImbalance(samples map[string][]sample) {
	for _, service := range slices.Sorted(maps.Keys(samples)) {
		mean := ServiceImbalance{Service: service}
		connectionSamples, busySamples := 0, 0
		for _, one := range samples[service] {
			connectionSamples += accumulate(&mean.Connections, one.connections)
			busySamples += accumulate(&mean.BusySlots, one.busy)
		}
		divide(&mean.Connections, connectionSamples)
		divide(&mean.BusySlots, busySamples)
		r.Imbalance = append(r.Imbalance, mean)
	}
}

// accumulate adds a sample that says something and returns 1, else 0.
func accumulate(sum *statistics.Imbalance, one statistics.Imbalance) int {
	if one.MaximumToMean == 0 {
		return 0
	}
	sum.MaximumToMean += one.MaximumToMean
	sum.Variation += one.Variation
	return 1
}

func divide(sum *statistics.Imbalance, count int) {
	if count > 0 {
		sum.MaximumToMean /= float64(count)
		sum.Variation /= float64(count)
	}
}

func (r *Report) addCosts(costs []DaemonCost) {
	for _, cost := range costs {
		r.ControlBytesPerSecond += cost.ControlBytesPerSecond / float64(len(costs))
		r.ControlBytesPerSecondMax = max(r.ControlBytesPerSecondMax, cost.ControlBytesPerSecond)
		r.CoreShareMax = max(r.CoreShareMax, cost.CoreShare)
		r.ResidentBytesMax = max(r.ResidentBytesMax, cost.ResidentBytes)
	}
}

// WriteJSON writes the report for scripts.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report for a person.
func (r *Report) WriteTable(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(writer, format+"\n", values...) }
	line("mode %s, seed %d, %.1f s", r.Mode, r.Seed, r.Seconds)
	line("feeds opened %d, broken %d; foreign packets %d", r.FeedsOpened, r.FeedsBroken, r.ForeignPackets)
	line("dials %d, failed %d; stray half-handshakes per 1,000 dials %.1f", r.Dials, r.FailedDials, r.StrayHandshakes())
	line("requests: answered %d, not run %d, unknown %d (of which ran %d), wrong %d; ran once %d, more than once %d",
		r.Runs.Answered, r.Runs.NotRun, r.Runs.Unknown, r.Runs.UnknownRan, r.Runs.Wrong, r.Runs.RanOnce, r.Runs.RanMore)
	line("control bytes/s per daemon: mean %.0f, highest %.0f; processor time of the whole run %.1f s",
		r.ControlBytesPerSecond, r.ControlBytesPerSecondMax, r.ProcessCPUSeconds)
	line("the machine stalled the lab for %.2f s in all, %.2f s at the longest", r.StalledSeconds, r.LongestStall)
	if r.CoreShareMax > 0 {
		line("costliest daemon process: %.1f %% of a core, %.0f MiB resident", 100*r.CoreShareMax, r.ResidentBytesMax/(1<<20))
	}
	line("packets: %s; dropped: %s", counts(r.Actions), counts(r.Drops))
	line("")
	line("SERVICE\tCLASS\tCOUNT\tP50 ms\tP90 ms\tP99 ms\tMAX ms")
	for _, latency := range r.Latencies {
		line("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f", latency.Service, latency.Class, latency.Count,
			latency.P50, latency.P90, latency.P99, latency.Highest)
	}
	line("")
	line("SERVICE\tCONNECTIONS max/mean\tCV\tBUSY SLOTS max/mean\tCV")
	for _, one := range r.Imbalance {
		line("%s\t%.2f\t%.2f\t%.2f\t%.2f", one.Service, one.Connections.MaximumToMean, one.Connections.Variation,
			one.BusySlots.MaximumToMean, one.BusySlots.Variation)
	}
	line("")
	line("INVARIANT\tCHECKED\tVERDICT")
	for index := range r.Verdicts {
		verdict := &r.Verdicts[index]
		line("%s\t%d\t%s", verdict.Invariant, verdict.Checked, word(verdict))
	}
	for index := range r.Verdicts {
		for _, violation := range r.Verdicts[index].Violations {
			line("  %s: %s", r.Verdicts[index].Invariant, violation)
		}
	}
	return writer.Flush()
}

func word(verdict *history.Verdict) string {
	switch {
	case !verdict.Holds():
		return fmt.Sprintf("BROKEN %d times", verdict.Total)
	case verdict.Checked == 0:
		return "not exercised"
	}
	return "holds"
}

func counts(values map[string]uint64) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", name, values[name])
	}
	if text == "" {
		return "none"
	}
	return text
}
