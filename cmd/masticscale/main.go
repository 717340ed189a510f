// Command masticscale runs the entry host, its stand-ins and the operator's
// commands.
package main

import (
	"os"

	"github.com/masticscale/masticscale/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
