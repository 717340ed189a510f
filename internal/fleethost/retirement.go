package fleethost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

// otherRetirementDelay is the least time after which a process completes the request of
// another machine; at most twice as long.
const otherRetirementDelay = time.Second

// retirements completes requests to retire machines. All durable state is in the platform's
// store, so no machine has anything to move first.
type retirements struct {
	store *objstore.Client
	host  string
	log   logrus.FieldLogger
	tasks sync.WaitGroup
}

// serveRetirements completes requests until ctx is done. The request of another machine is
// left to that one for a while: it may have no process.
func serveRetirements(ctx context.Context, store *objstore.Client, host string, log logrus.FieldLogger) {
	r := &retirements{store: store, host: host, log: log}
	defer r.tasks.Wait()
	objstore.ListAndWatch(ctx, store, platform.KindRetirements,
		func(objects []objstore.Object, _ int64) {
			for _, o := range objects {
				r.handle(ctx, o)
			}
		},
		func(e objstore.Event) {
			if e.Type == objstore.EventPut {
				r.handle(ctx, e.Object)
			}
		})
}

func (r *retirements) handle(ctx context.Context, o objstore.Object) {
	switch {
	case !platform.IsOpenRetirement(o):
	case o.Name == r.host:
		r.complete(ctx, o.Name)
	default:
		r.tasks.Go(func() { r.completeLater(ctx, o.Name) })
	}
}

// completeLater completes the request of another machine unless that or another process has
// done so meanwhile.
func (r *retirements) completeLater(ctx context.Context, name string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(otherRetirementDelay + rand.N(otherRetirementDelay)):
		}
		o, err := r.store.Get(ctx, platform.KindRetirements, name)
		switch {
		case errors.Is(err, objstore.ErrNotFound), err == nil && !platform.IsOpenRetirement(o):
			return
		case err != nil:
			r.log.WithFields(logrus.Fields{"event": "retirement_not_read", "machine": name, "error": err}).Warn("a request to retire a machine can't be read; it is read again")
			continue
		}
		r.complete(ctx, name)
	}
}

func (r *retirements) complete(ctx context.Context, name string) {
	err := r.store.SetStatus(ctx, platform.KindRetirements, name, platform.CompletedRetirement())
	r.log.WithFields(logrus.Fields{"event": "machine_emptied", "machine": name, "error": err}).Info("handled a request to retire a machine; it holds no durable state")
}
