package fleethost

import (
	"context"
	"os"

	"github.com/masticscale/masticscale/internal/telemetry"
)

// RunStorage runs the process of a storage machine, which has a disk, until ctx is
// done. It stores no data on the machine, because all durable data is in the
// platform's store. It only completes requests to empty machines.
func RunStorage(ctx context.Context, path string) error {
	settings, err := ReadSettings(path)
	if err != nil {
		return err
	}
	applyResourceLimits(settings)
	out, log, err := newLogger(settings, os.Stdout)
	if err != nil {
		return err
	}
	store := newStoreClient(settings, newPlatformStore(settings, log), telemetry.NewMetrics())
	defer store.Close()
	go reloadLoop(ctx, path, log)
	log.WithField("event", "storage_started").Info("storage machine started; it stores no data")
	serveRemovalRequests(ctx, store, settings.Name, log)
	log.WithField("event", "storage_stopped").Info("storage machine stopped")
	out.Close(logFlushTimeout)
	return nil
}
