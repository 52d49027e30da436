// Command passtray-lab runs simulated deployments of passtray against stand-ins for its environment.
package main

import (
	"os"

	"github.com/passtray/passtray/internal/lab/labctl"
)

func main() { os.Exit(labctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
