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

// requireKnowledge refuses requests that would run on knowledge which is older
// than the operators allow, and ends a request when its key is withdrawn and
// requests in progress are to be cut.
func (g *Gateway) requireKnowledge(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if err := g.catalog.Usable(r.Context()); err != nil {
		g.fail(w, r, string(dispatch.Online), "", err)
		return
	}
	secret, err := secretOf(r.Header)
	if err != nil {
		next(w, r) // the handler knows whether a key is needed
		return
	}
	ctx, release := g.catalog.Track(r.Context(), key.IDOf(secret))
	defer release()
	next(w, r.WithContext(ctx))
}

// withdrawnKey returns the error of a request that ended because its key was
// withdrawn.
func withdrawnKey(ctx context.Context) (*apierr.Error, bool) {
	if errors.Is(context.Cause(ctx), catalog.ErrKeyWithdrawn) {
		return catalog.ErrKeyWithdrawn, true
	}
	return nil, false
}

// explainWithdrawn names the withdrawal as the reason of a request's end. What
// is known of its execution stays.
func explainWithdrawn(ctx context.Context, err error) error {
	e, withdrawn := withdrawnKey(ctx)
	if !withdrawn {
		return err
	}
	explained := *e
	explained.Execution = apierr.From(err).Execution
	return explained.WithCause(err)
}
