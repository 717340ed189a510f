package cli

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/emulator/plainservice"
)

const emulatorShutdownTimeout = time.Second

func newEmulateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "emulate",
		Short: "Run a stand-in for an outside system, for tests and trials",
	}
	c.AddCommand(newEmulatePlatformCommand(), newEmulateEngineCommand(), newEmulateServiceCommand())
	return c
}

func newEmulatePlatformCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilDone(c.Context(), listen, objectapi.New().Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address, ip:port")
	return c
}

func newEmulateEngineCommand() *cobra.Command {
	var listen string
	options := engine.Options{Cost: engine.DefaultCost()}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilDone(c.Context(), listen, engine.New(options).Handler())
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7100", "address, ip:port")
	f.StringVar(&options.Name, "name", "engine", "name that stands in its answers")
	f.BoolVar(&options.IgnoreFencing, "ignore-fencing", false, "carry out orders with old fencing numbers too")
	f.IntVar(&options.Slots, "slots", 32, "requests in one batch")
	f.DurationVar(&options.Cost.PrefillPerToken, "prefill-per-token", options.Cost.PrefillPerToken, "time to read one prompt token")
	f.DurationVar(&options.Cost.StepBase, "step", options.Cost.StepBase, "time of a decode step of one request")
	f.DurationVar(&options.Cost.StepPerRequest, "step-per-request", options.Cost.StepPerRequest, "time that each further request adds to a step")
	return c
}

func newEmulateServiceCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain HTTP service",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilDone(c.Context(), listen, new(plainservice.Server).Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "address, ip:port")
	return c
}

// serveUntilDone serves HTTP until ctx is done, then shuts down within
// emulatorShutdownTimeout.
func serveUntilDone(ctx context.Context, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen; free the address or choose another with --listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: emulatorShutdownTimeout * 10}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), emulatorShutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
