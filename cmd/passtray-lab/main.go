// Command passtray-lab runs test deployments of passtray against fakes of its environment.
package main

import (
	"os"

	"github.com/passtray/passtray/internal/lab/labctl"
)

func main() { os.Exit(labctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
