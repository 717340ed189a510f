// Command masticscale runs entry hosts, emulators of the systems around them and
// the operator's commands.
package main

import (
	"os"

	"github.com/masticscale/masticscale/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}
