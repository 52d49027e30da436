package labctl

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/passtray/passtray/internal/simulation"
)

type balanceCommand struct {
	program  *program
	Daemons  int           `long:"daemons" default:"6" description:"number of daemons that choose targets"`
	Targets  int           `long:"targets" default:"15" description:"number of targets of the service"`
	Feeds    float64       `long:"feeds-per-second" default:"4" description:"rate at which long-lived feeds are opened"`
	Life     time.Duration `long:"feed-life" default:"60s" description:"mean duration of a feed"`
	Requests float64       `long:"requests-per-second" default:"1200" description:"rate of short requests"`
	Work     time.Duration `long:"work" default:"12ms" description:"mean processing time of a request"`
	Interval time.Duration `long:"report-interval" default:"200ms" description:"interval of load reports on a feed"`
	Lag      time.Duration `long:"report-lag" default:"2ms" description:"age of a load report when it is received"`
	Liars    int           `long:"liars" default:"0" description:"number of targets that always report a load of 0"`
	Span     time.Duration `long:"span" default:"240s" description:"simulated time, of which the second half is measured"`
	Seeds    int           `long:"seeds" default:"3" description:"number of seeds to average over"`
}

// Execute implements flags.Commander.
func (c *balanceCommand) Execute([]string) error {
	writer := tabwriter.NewWriter(c.program.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "POLICY\tCONNECTIONS max/mean\tCV\tBUSY max/mean\tWAITED %")
	for _, policy := range simulation.BalancePolicies() {
		var sum simulation.BalanceResult
		for seed := range c.Seeds {
			result := simulation.Balance(simulation.BalanceConfig{
				Policy: policy, Daemons: c.Daemons, Targets: c.Targets, FeedsPerSecond: c.Feeds, FeedLife: c.Life,
				RequestsPerSecond: c.Requests, RequestWork: c.Work, ReportInterval: c.Interval, ReportLag: c.Lag,
				Liars: c.Liars, Span: c.Span, Seed: uint64(seed) + 1,
			})
			sum.ConnectionsMaxToMean += result.ConnectionsMaxToMean
			sum.ConnectionsVariation += result.ConnectionsVariation
			sum.BusyMaxToMean += result.BusyMaxToMean
			sum.Waited += result.Waited
		}
		seeds := float64(c.Seeds)
		_, _ = fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", policy, sum.ConnectionsMaxToMean/seeds,
			sum.ConnectionsVariation/seeds, sum.BusyMaxToMean/seeds, 100*sum.Waited/seeds)
	}
	return writer.Flush()
}
