package cli

import (
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/demo"
)

func newDemoCommand() *cobra.Command {
	var logFile string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole small fleet on loopback and print what each promise showed",
		Long: `Run a whole small fleet in one process on loopback, in under 30 seconds: stand-ins
for the platform, engines and a plain service, three hosts in two data centres,
online load of four teams with a batch job underneath. A host is stopped and an
engine crashes on the way. Ends with an account: each promise, what was seen.`,
		Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			log := io.Discard
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return errors.Wrap(err, "create log")
				}
				defer func() { _ = f.Close() }()
				log = f
			}
			return demo.Run(c.Context(), c.OutOrStdout(), log)
		},
	}
	c.Flags().StringVar(&logFile, "log", "", "file for the hosts' logs")
	return c
}
