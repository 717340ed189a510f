package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/fleethost"
)

func newFleetEvacuateCommand() *cobra.Command {
	return newEvacuationCommand("evacuate", "Ask hosts to send nothing more to the upstreams of a data centre",
		"the store has acknowledged the evacuation of %s; follow masticscale_evacuated_running\n", fleethost.RequestEvacuation)
}

func newFleetRestoreCommand() *cobra.Command {
	return newEvacuationCommand("restore", "End the evacuation of a data centre",
		"the store has acknowledged the end of the evacuation of %s\n", fleethost.EndEvacuation)
}

// newEvacuationCommand returns a command that changes the evacuation of a data centre.
func newEvacuationCommand(use, short, done string, change func(ctx context.Context, settings, dataCentre string) error) *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use:   use + " DATA_CENTRE",
		Short: short,
		Args:  exactArgs("DATA_CENTRE"),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := settingsPath(settings)
			if err != nil {
				return err
			}
			if err := change(c.Context(), path, args[0]); err != nil {
				return err
			}
			c.Printf(done, args[0])
			return nil
		},
	}
	c.Flags().StringVar(&settings, "settings", "", "settings file of a host, which names the store")
	return c
}
