package fleethost

import (
	"context"
	"os"

	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/platform"
)

// RunStorage runs on a machine with a disk until ctx ends. Nothing is kept
// there: what must last is in the platform's store. The process answers when
// the machine is asked to be emptied.
func RunStorage(ctx context.Context, path string) error {
	settings, err := ReadSettings(path)
	if err != nil {
		return err
	}
	tune(settings)
	out, log, err := newLog(settings, os.Stdout)
	if err != nil {
		return err
	}
	store := newStore(settings, newTransport(settings, log), telemetry.NewMetrics())
	defer store.Close()
	go followSettings(ctx, path, log)
	log.WithField("event", "storage_started").Info("storage machine started; it keeps nothing")
	platform.ServeRetirements(ctx, store, settings.Name, log)
	log.WithField("event", "storage_stopped").Info("storage machine stopped")
	out.Close(logFlushTime)
	return nil
}
