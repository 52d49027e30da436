// Command passtrayctl is the command-line client of the operator API.
package main

import (
	"os"

	"github.com/passtray/passtray/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
