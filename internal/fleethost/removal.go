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

// otherRemovalDelay is the least time after which a process completes the request of
// another machine; at most twice as long.
const otherRemovalDelay = time.Second

// removalRequests completes requests to empty machines that are to be taken away. All durable
// state is in the platform's store, so no machine has anything to move first.
type removalRequests struct {
	store *objstore.Client
	host  string
	log   logrus.FieldLogger
	tasks sync.WaitGroup
}

// serveRemovalRequests completes requests until ctx is done. The request of another machine is
// left to that one for a while: it may have no process.
func serveRemovalRequests(ctx context.Context, store *objstore.Client, host string, log logrus.FieldLogger) {
	r := &removalRequests{store: store, host: host, log: log}
	defer r.tasks.Wait()
	objstore.ListAndWatch(ctx, store, platform.KindMachineRemovals,
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

func (r *removalRequests) handle(ctx context.Context, o objstore.Object) {
	switch {
	case !platform.IsOpenRemoval(o):
	case o.Name == r.host:
		r.complete(ctx, o.Name)
	default:
		r.tasks.Go(func() { r.completeLater(ctx, o.Name) })
	}
}

// completeLater completes the request of another machine unless that or another process has
// done so meanwhile.
func (r *removalRequests) completeLater(ctx context.Context, name string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(otherRemovalDelay + rand.N(otherRemovalDelay)):
		}
		o, err := r.store.Get(ctx, platform.KindMachineRemovals, name)
		switch {
		case errors.Is(err, objstore.ErrNotFound), err == nil && !platform.IsOpenRemoval(o):
			return
		case err != nil:
			r.log.WithFields(logrus.Fields{"event": "removal_not_read", "machine": name, "error": err}).Warn("a request to empty a machine can't be read; it is read again")
			continue
		}
		r.complete(ctx, name)
	}
}

func (r *removalRequests) complete(ctx context.Context, name string) {
	err := r.store.SetStatus(ctx, platform.KindMachineRemovals, name, platform.CompletedRemoval())
	r.log.WithFields(logrus.Fields{"event": "machine_emptied", "machine": name, "error": err}).Info("handled a request to empty a machine; it holds no durable state")
}
