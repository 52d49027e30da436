// Command passtray-lab plays deployments against the stand-ins of the outside.
package main

import (
	"os"

	"github.com/passtray/passtray/internal/lab/labctl"
)

func main() { os.Exit(labctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
