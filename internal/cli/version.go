package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			version := "devel"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "masticscale", version)
			return err
		},
	}
}
