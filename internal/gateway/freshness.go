package gateway

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/key"
)

// requireFreshConfig rejects requests when the host's configuration is older
// than the operators allow. If keys are withdrawn with immediate effect, it also
// cancels the running requests of a withdrawn key.
func (g *Gateway) requireFreshConfig(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if err := g.catalog.CheckFreshness(r.Context()); err != nil {
		g.fail(w, r, string(dispatch.Online), "", err)
		return
	}
	secret, err := callerKey(r.Header)
	if err != nil {
		next(w, r) // the handler decides whether a key is required
		return
	}
	ctx, release := g.catalog.TrackRequest(r.Context(), key.IDOf(secret))
	defer release()
	next(w, r.WithContext(ctx))
}

// keyWithdrawn returns the error of a request that was cancelled because its
// key was withdrawn.
func keyWithdrawn(ctx context.Context) (*apierr.Error, bool) {
	if errors.Is(context.Cause(ctx), catalog.ErrKeyWithdrawn) {
		return catalog.ErrKeyWithdrawn, true
	}
	return nil, false
}

// withWithdrawal reports a withdrawn key as the reason of a failure. The
// execution status of the original error is kept.
func withWithdrawal(ctx context.Context, err error) error {
	e, withdrawn := keyWithdrawn(ctx)
	if !withdrawn {
		return err
	}
	wrapped := *e
	wrapped.Execution = apierr.From(err).Execution
	return wrapped.WithCause(err)
}
