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

const emulatorStopTime = time.Second

func newEmulate() *cobra.Command {
	c := &cobra.Command{
		Use:   "emulate",
		Short: "Run a stand-in for an outside system, for tests and trials",
	}
	c.AddCommand(newEmulatePlatform(), newEmulateEngine(), newEmulateService())
	return c
}

func newEmulatePlatform() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntil(c.Context(), listen, objectapi.New().Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address, ip:port")
	return c
}

func newEmulateEngine() *cobra.Command {
	var listen string
	options := engine.Options{Cost: engine.DefaultCost()}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntil(c.Context(), listen, engine.New(options).Handler())
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

func newEmulateService() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain HTTP service",
		Args:  exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntil(c.Context(), listen, new(plainservice.Server).Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "address, ip:port")
	return c
}

// serveUntil serves until ctx is done.
func serveUntil(ctx context.Context, listen string, handler http.Handler) error {
	socket, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen; free the address or choose another with --listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: emulatorStopTime * 10}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), emulatorStopTime)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
