// Command passtrayctl is the operators' command line.
package main

import (
	"os"

	"github.com/passtray/passtray/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
