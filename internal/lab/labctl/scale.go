package labctl

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/passtray/passtray/internal/simulation"
)

type scaleCommand struct {
	program  *program
	Members  []int         `long:"members" description:"number of hollow daemons; give several to see the slope" default:"10" default:"100" default:"400"`
	Zones    int           `long:"zones" default:"4" description:"zones of the region"`
	Services int           `long:"services" default:"20" description:"services declared before the measurement"`
	Targets  int           `long:"targets" default:"80" description:"targets declared before the measurement"`
	Changes  int           `long:"changes" default:"20" description:"changes made during it"`
	Interval time.Duration `long:"interval" default:"3s" description:"time between changes"`
	Kills    int           `long:"kills" default:"2" description:"daemons that die"`
	Pauses   int           `long:"pauses" default:"2" description:"daemons that freeze for 3 s"`
	Seed     uint64        `long:"seed" default:"1" description:"the same seed gives the same run"`
	Output   string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"how to print"`
}

const scalePause = 3 * time.Second

// Execute serves go-flags.
func (c *scaleCommand) Execute([]string) error {
	var results []simulation.ScaleResult
	for _, members := range c.Members {
		if members < c.Kills+c.Pauses+3 {
			return fmt.Errorf("--members: %d must be at least %d, so that a majority stays", members, c.Kills+c.Pauses+3)
		}
		result := simulation.Scale(simulation.ScaleConfig{
			Members: members, Zones: c.Zones, Services: c.Services, Targets: c.Targets, Changes: c.Changes,
			ChangeInterval: c.Interval, Kills: c.Kills, Pauses: c.Pauses, PauseSpan: scalePause, Seed: c.Seed,
		})
		results = append(results, result)
		if len(result.Violations) > 0 || result.Undetected > 0 {
			c.program.code = ExitBroken
		}
	}
	if c.Output == "json" {
		return json.NewEncoder(c.program.out).Encode(results)
	}
	return c.printTable(results)
}

func (c *scaleCommand) printTable(results []simulation.ScaleResult) error {
	writer := tabwriter.NewWriter(c.program.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "MEMBERS\tDATAGRAM B/s mean\tmax\tSTREAM B/s mean\tmax\tCORE %\tHEAP KiB\tACCEPTED\tIN FORCE p50\tp99\tmax\tDETECTION p50\tmax\tUNDETECTED\tFALSE DEATHS\tVIOLATIONS")
	for _, result := range results {
		_, _ = fmt.Fprintf(writer, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n",
			result.Members, result.DatagramRate, result.DatagramRateHighest, result.StreamRate, result.StreamRateHighest,
			100*result.ProcessorShare, result.HeapBytes/1024, result.Accepted, result.InForceP50, result.InForceP99, result.InForceMax,
			result.DetectionP50, result.DetectionMax, result.Undetected, result.FalseDeaths, len(result.Violations))
	}
	for _, result := range results {
		for _, violation := range result.Violations {
			_, _ = fmt.Fprintln(writer, violation)
		}
	}
	return writer.Flush()
}
