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

func newFleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Run on the users' platform, before one fleet of upstreams",
	}
	c.AddCommand(newFleetHostCommand(), newFleetStorageCommand(), newFleetCheckCommand(), newFleetEvacuateCommand(), newFleetRestoreCommand())
	return c
}

// settingsPath returns the path given by the flag, or else the path that the
// platform sets in the environment.
func settingsPath(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	if path := os.Getenv(platform.SettingsPathEnv); path != "" {
		return path, nil
	}
	return "", errors.Wrapf(errUsage, "no settings given; pass --settings FILE or set %s", platform.SettingsPathEnv)
}

// newSettingsCommand returns a command that takes the path of a settings file.
func newSettingsCommand(use, short string, run func(c *cobra.Command, path string) error) *cobra.Command {
	var settings string
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			// Without this, a SIGHUP that arrives before the settings are read would end the process.
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

func newFleetHostCommand() *cobra.Command {
	return newSettingsCommand("host", "Serve callers, and run batch jobs", func(c *cobra.Command, path string) error {
		host, err := fleethost.NewHost(path)
		if err != nil {
			return err
		}
		return host.Run(c.Context())
	})
}

func newFleetStorageCommand() *cobra.Command {
	return newSettingsCommand("storage", "Answer for a machine with a disk, which keeps nothing", func(c *cobra.Command, path string) error {
		return fleethost.RunStorage(c.Context(), path)
	})
}

func newFleetCheckCommand() *cobra.Command {
	return newSettingsCommand("check", "Check a settings file", func(c *cobra.Command, path string) error {
		if _, err := fleethost.ReadSettings(path); err != nil {
			return err
		}
		c.Println("the settings are valid")
		return nil
	})
}
