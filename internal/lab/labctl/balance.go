package labctl

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/passtray/passtray/internal/simulation"
)

type balanceCommand struct {
	program  *program
	Daemons  int           `long:"daemons" default:"6" description:"daemons that pick"`
	Targets  int           `long:"targets" default:"15" description:"targets of the service"`
	Feeds    float64       `long:"feeds-per-second" default:"4" description:"long feeds opened"`
	Life     time.Duration `long:"feed-life" default:"60s" description:"mean life of a feed"`
	Requests float64       `long:"requests-per-second" default:"1200" description:"short requests"`
	Work     time.Duration `long:"work" default:"12ms" description:"mean work of a request"`
	Interval time.Duration `long:"report-interval" default:"200ms" description:"how often a feed brings a report"`
	Lag      time.Duration `long:"report-lag" default:"2ms" description:"age of a report when it comes"`
	Liars    int           `long:"liars" default:"0" description:"targets that report an empty house"`
	Span     time.Duration `long:"span" default:"240s" description:"virtual time; the second half is measured"`
	Seeds    int           `long:"seeds" default:"3" description:"seeds averaged"`
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
