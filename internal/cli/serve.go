package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/app"
	"github.com/masticscale/masticscale/internal/config"
)

func newServeCommand() *cobra.Command {
	var base string
	var overlay string
	var override config.Host
	c := &cobra.Command{
		Use:   "serve --config base.jsonc [--overlay site.jsonc]",
		Short: "Run an entry host",
		Long: `Run an entry host until it is told to stop with SIGTERM or SIGINT.

The host reads the "host" part of the file and its overlay; flags override it.
A stop answers everything accepted first. A second signal forces it.

MASTICSCALE_OPERATOR_TOKEN gives the operator token in place of the file.`,
		Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loadHostSettings(base, overlay, override)
			if err != nil {
				return err
			}
			host, err := app.NewHost(settings, app.LogOutput(os.Stderr))
			if err != nil {
				return err
			}
			force, cancel := newForceContext(c.Context())
			defer cancel()
			return host.Run(c.Context(), force)
		},
	}
	f := c.Flags()
	f.StringVar(&base, "config", "", "base file, in JSON with comments")
	f.StringVar(&overlay, "overlay", "", "overlay file of this site")
	f.StringVar(&override.Name, "name", "", "name of this host")
	f.StringVar(&override.DataCentre, "data-centre", "", "data centre in which this host stands")
	f.StringVar(&override.Listen, "listen", "", "address for callers, ip:port")
	f.StringVar(&override.AdminListen, "admin-listen", "", "address for operators, ip:port")
	f.StringVar(&override.PeerListen, "peer-listen", "", "address for other hosts, ip:port")
	f.StringVar(&override.Platform, "platform", "", "base URL of the platform's object API")
	f.StringVar(&override.DataFolder, "data-folder", "", "folder for bulk data; empty keeps nothing")
	return c
}

// newForceContext returns a context that the second stop signal cancels, to force
// the stop that the first one started by ending ctx.
func newForceContext(ctx context.Context) (context.Context, context.CancelFunc) {
	force, cancel := context.WithCancel(context.WithoutCancel(ctx))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		defer signal.Stop(signals)
		for range 2 {
			select {
			case <-signals:
			case <-force.Done():
				return
			}
		}
		cancel()
	}()
	return force, cancel
}

func loadHostSettings(base, overlay string, override config.Host) (config.Host, error) {
	if base == "" {
		return config.Host{}, errors.Wrap(errUsage, "no settings given; pass --config base.jsonc")
	}
	bundle, err := readBundle(base, overlay)
	if err != nil {
		return config.Host{}, err
	}
	doc, err := bundle.Render(overlaySite)
	if err != nil {
		return config.Host{}, err
	}
	settings := applyOverrides(doc.Host, override)
	if token := os.Getenv(operatorTokenEnv); token != "" {
		settings.OperatorToken = token
	}
	return settings.Complete()
}

// operatorTokenEnv names the environment variable with the operator token, so that
// the token need not be stored in a file.
const operatorTokenEnv = "MASTICSCALE_OPERATOR_TOKEN"

// overlaySite is the site name under which serve registers its only overlay.
const overlaySite = "site"

func readBundle(base, overlay string) (config.Bundle, error) {
	overlays := map[string]string{}
	if overlay != "" {
		overlays[overlaySite] = overlay
	}
	files, err := config.ReadFiles(base, overlays)
	if err != nil {
		return config.Bundle{}, err
	}
	return files.Bundle(), files.Validate()
}

// applyOverrides replaces settings by the flags that are set.
func applyOverrides(s, flags config.Host) config.Host {
	for _, f := range []struct {
		target *string
		value  string
	}{
		{&s.Name, flags.Name}, {&s.DataCentre, flags.DataCentre}, {&s.Listen, flags.Listen},
		{&s.AdminListen, flags.AdminListen}, {&s.PeerListen, flags.PeerListen},
		{&s.Platform, flags.Platform}, {&s.DataFolder, flags.DataFolder},
	} {
		if f.value != "" {
			*f.target = f.value
		}
	}
	return s
}
