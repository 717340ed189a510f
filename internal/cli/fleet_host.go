package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/fleethost"
	"github.com/masticscale/masticscale/platform"
)

func newFleet() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run on the users' platform, before one fleet of upstreams",
	}
	c.AddCommand(newFleetHost(), newFleetStorage(), newFleetCheck())
	return c
}

// settingsPath returns the settings file that was named, or the platform's.
func settingsPath(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	if path := os.Getenv(platform.SettingsPathEnv); path != "" {
		return path, nil
	}
	return "", errors.Wrapf(errUsage, "no settings given; pass --settings FILE or set %s", platform.SettingsPathEnv)
}

// newFleetCommand returns a command that takes a settings file.
func newFleetCommand(use, short string, run func(c *cobra.Command, path string) error) *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			// A hangup that comes before the settings are read must not end the process.
			signal.Ignore(syscall.SIGHUP)
			path, err := settingsPath(settings)
			if err != nil {
				return err
			}
			return run(c, path)
		},
	}
	c.Flags().StringVar(&settings, "settings", "", "settings file, in JSON with comments")
	return c
}

func newFleetHost() *cobra.Command {
	return newFleetCommand("host", "Serve callers, and run batch jobs", func(c *cobra.Command, path string) error {
		host, err := fleethost.NewHost(path)
		if err != nil {
			return err
		}
		return host.Run(c.Context())
	})
}

func newFleetStorage() *cobra.Command {
	return newFleetCommand("storage", "Answer for a machine with a disk, which keeps nothing", func(c *cobra.Command, path string) error {
		return fleethost.RunStorage(c.Context(), path)
	})
}

func newFleetCheck() *cobra.Command {
	return newFleetCommand("check", "Check a settings file", func(c *cobra.Command, path string) error {
		if _, err := fleethost.ReadSettings(path); err != nil {
			return err
		}
		c.Println("the settings are valid")
		return nil
	})
}
