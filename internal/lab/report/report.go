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

// Latency is the latency distribution of one class of requests.
type Latency struct {
	Service string  `json:"service"`
	Class   string  `json:"class"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	Highest float64 `json:"max_ms"`
}

// ServiceImbalance is the imbalance over a service's targets, averaged over the run's samples.
type ServiceImbalance struct {
	Service     string               `json:"service"`
	Connections statistics.Imbalance `json:"connections"`
	BusySlots   statistics.Imbalance `json:"busy_slots"`
}

// Runs counts attempts by their outcome, and requests by how often they ran.
type Runs struct {
	Answered   int `json:"answered"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	Wrong      int `json:"wrong"`
	RanOnce    int `json:"ran_once"`
	RanMore    int `json:"ran_more_than_once"`
	UnknownRan int `json:"unknown_that_ran"`
}

// Report is the result of a run.
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
	// ControlBytesPerSecond and ControlBytesPerSecondMax are the mean and maximum over the daemons.
	ControlBytesPerSecond    float64 `json:"control_bytes_per_second_mean"`
	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max"`
	// CoreShareMax and ResidentBytesMax are maxima over the daemons, 0 if daemons run inside the
	// lab's process.
	CoreShareMax     float64 `json:"daemon_core_share_max"`
	ResidentBytesMax float64 `json:"daemon_resident_bytes_max"`
	// LongestStall and StalledSeconds are the maximum and the sum of the delays of the lab's timers,
	// without those below minStall. They are caused by the machine rather than by passtray, and show
	// how far the other measurements can be trusted.
	LongestStall   float64 `json:"longest_stall_seconds"`
	StalledSeconds float64 `json:"stalled_seconds"`
	// ProcessCPUSeconds is the processor time of the lab's process, which includes targets, callers
	// and any daemons inside it.
	ProcessCPUSeconds float64           `json:"process_cpu_seconds"`
	Actions           map[string]uint64 `json:"actions"`
	Drops             map[string]uint64 `json:"drops"`
	Verdicts          []history.Verdict `json:"verdicts"`

	samples   map[string][]sample
	lastLoads map[string][]TargetLoad
}

// Holds reports whether no invariant was violated.
func (r *Report) Holds() bool {
	for index := range r.Verdicts {
		if !r.Verdicts[index].Holds() {
			return false
		}
	}
	return true
}

// StrayHandshakes returns the number of handshakes that were begun but not completed at a target,
// per thousand dials.
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
		case history.ForeignPacketReceived:
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
		for _, s := range samples[service] {
			connectionSamples += accumulate(&mean.Connections, s.connections)
			busySamples += accumulate(&mean.BusySlots, s.busy)
		}
		divide(&mean.Connections, connectionSamples)
		divide(&mean.BusySlots, busySamples)
		r.Imbalance = append(r.Imbalance, mean)
	}
}

// accumulate adds a sample to a sum and returns 1, or returns 0 if the sample is empty.
func accumulate(sum *statistics.Imbalance, sample statistics.Imbalance) int {
	if sample.MaxToMean == 0 {
		return 0
	}
	sum.MaxToMean += sample.MaxToMean
	sum.Variation += sample.Variation
	return 1
}

func divide(sum *statistics.Imbalance, count int) {
	if count > 0 {
		sum.MaxToMean /= float64(count)
		sum.Variation /= float64(count)
	}
}

func (r *Report) addDaemonCosts(costs []DaemonCost) {
	for _, cost := range costs {
		r.ControlBytesPerSecond += cost.ControlBytesPerSecond / float64(len(costs))
		r.ControlBytesPerSecondMax = max(r.ControlBytesPerSecondMax, cost.ControlBytesPerSecond)
		r.CoreShareMax = max(r.CoreShareMax, cost.CoreShare)
		r.ResidentBytesMax = max(r.ResidentBytesMax, cost.ResidentBytes)
	}
}

func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(writer, format+"\n", args...) }
	line("mode %s, seed %d, %.1f s", r.Mode, r.Seed, r.Seconds)
	line("feeds opened %d, broken %d; foreign packets %d", r.FeedsOpened, r.FeedsBroken, r.ForeignPackets)
	line("dials %d, failed %d; incomplete handshakes at targets per 1,000 dials %.1f", r.Dials, r.FailedDials, r.StrayHandshakes())
	line("requests: answered %d, not run %d, unknown %d (of which ran %d), wrong %d; ran once %d, more than once %d",
		r.Runs.Answered, r.Runs.NotRun, r.Runs.Unknown, r.Runs.UnknownRan, r.Runs.Wrong, r.Runs.RanOnce, r.Runs.RanMore)
	line("control traffic per daemon in bytes/s: mean %.0f, max %.0f; processor time of the lab %.1f s",
		r.ControlBytesPerSecond, r.ControlBytesPerSecondMax, r.ProcessCPUSeconds)
	line("timer delay of the lab: total %.2f s, max %.2f s", r.StalledSeconds, r.LongestStall)
	if r.CoreShareMax > 0 {
		line("max per daemon process: %.1f %% of a core, %.0f MiB resident", 100*r.CoreShareMax, r.ResidentBytesMax/(1<<20))
	}
	line("packets: %s; dropped: %s", formatCounts(r.Actions), formatCounts(r.Drops))
	line("")
	line("SERVICE\tCLASS\tCOUNT\tP50 ms\tP90 ms\tP99 ms\tMAX ms")
	for _, latency := range r.Latencies {
		line("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f", latency.Service, latency.Class, latency.Count,
			latency.P50, latency.P90, latency.P99, latency.Highest)
	}
	line("")
	line("SERVICE\tCONNECTIONS max/mean\tCV\tBUSY SLOTS max/mean\tCV")
	for _, imbalance := range r.Imbalance {
		line("%s\t%.2f\t%.2f\t%.2f\t%.2f", imbalance.Service, imbalance.Connections.MaxToMean, imbalance.Connections.Variation,
			imbalance.BusySlots.MaxToMean, imbalance.BusySlots.Variation)
	}
	line("")
	line("INVARIANT\tCHECKED\tVERDICT")
	for index := range r.Verdicts {
		verdict := &r.Verdicts[index]
		line("%s\t%d\t%s", verdict.Invariant, verdict.Checked, verdictText(verdict))
	}
	for index := range r.Verdicts {
		for _, violation := range r.Verdicts[index].Violations {
			line("  %s: %s", r.Verdicts[index].Invariant, violation)
		}
	}
	return writer.Flush()
}

func verdictText(verdict *history.Verdict) string {
	switch {
	case !verdict.Holds():
		return fmt.Sprintf("VIOLATED %d times", verdict.Total)
	case verdict.Checked == 0:
		return "not exercised"
	}
	return "holds"
}

func formatCounts(values map[string]uint64) string {
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
