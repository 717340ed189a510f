package fleethost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const (
	evacuationTimeout     = 20 * time.Second // longer than the store is impaired as a rule
	evacuationCallTimeout = 3 * time.Second
	evacuationRetryDelay  = 500 * time.Millisecond
)

// RequestEvacuation asks for the evacuation of the data centre, with the store of the settings file
// at path. When it returns nil, the store has acknowledged the request, or had it already.
func RequestEvacuation(ctx context.Context, path, dataCentre string) error {
	return changeEvacuation(ctx, path, func(ctx context.Context, store *platform.Store) error {
		_, err := store.Create(ctx, platform.KindEvacuations, dataCentre, json.RawMessage("{}"))
		if errors.Is(err, objstore.ErrConflict) {
			return nil
		}
		return err
	})
}

// EndEvacuation withdraws the request. When it returns nil, the store has none.
func EndEvacuation(ctx context.Context, path, dataCentre string) error {
	return changeEvacuation(ctx, path, func(ctx context.Context, store *platform.Store) error {
		o, err := store.Get(ctx, platform.KindEvacuations, dataCentre)
		if err == nil {
			err = store.Delete(ctx, platform.KindEvacuations, dataCentre, o.Version)
		}
		if errors.Is(err, objstore.ErrNotFound) {
			return nil
		}
		return err
	})
}

// changeEvacuation repeats the change until it succeeds or evacuationTimeout has passed.
func changeEvacuation(ctx context.Context, path string, change func(context.Context, *platform.Store) error) error {
	settings, err := ReadSettings(path)
	if err != nil {
		return err
	}
	if !platform.FeaturesOf(settings.Terms).Evacuation {
		return apierr.New(apierr.Invalid, "the terms in the settings don't let data centres be evacuated, so that hosts would ignore the request", "change the terms of the deployment")
	}
	store := platform.NewStore("http://"+settings.Store, platform.NewStoreDialer(), logrus.StandardLogger())
	defer store.Close()
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for {
		callCtx, endCall := context.WithTimeout(ctx, evacuationCallTimeout)
		err := change(callCtx, store)
		endCall()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "the platform's store didn't acknowledge the change, which may have taken effect; try again")
		case <-time.After(evacuationRetryDelay):
		}
	}
}
