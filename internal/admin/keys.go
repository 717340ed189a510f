package admin

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
)

const maxWithdrawAttempts = 5

// Key is the representation of a key in the API.
type Key struct {
	ID     key.ID   `json:"id"`
	Secret string   `json:"secret,omitempty"` // only in the response that created the key
	Spec   key.Spec `json:"spec"`
	// PendingHosts are the known hosts that have not confirmed a withdrawal. A
	// partitioned host may accept the key until it reconnects.
	PendingHosts []string `json:"pending_hosts,omitempty"`
}

// CreateKey is the request to create a key.
type CreateKey struct {
	Team  string `json:"team"`
	Label string `json:"label,omitempty"`
}

// WithdrawKey is the request to withdraw a key.
type WithdrawKey struct {
	CutActive bool `json:"cut_active,omitempty"` // also cancel requests in progress
}

func (a *API) listKeys(*http.Request) (any, error) {
	list := List[Key]{Items: []Key{}}
	for id, spec := range a.catalog.Current().Keys {
		list.Items = append(list.Items, Key{ID: id, Spec: spec})
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].ID < list.Items[j].ID })
	return list, nil
}

func (a *API) createKey(r *http.Request) (any, error) {
	var req CreateKey
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	if _, exists := a.catalog.Current().Teams[req.Team]; !exists {
		if _, err := a.store.Get(r.Context(), objstore.KindTeam, req.Team); err != nil {
			return nil, apierr.Newf(apierr.NotFound, "create the team first", "team %q does not exist", req.Team)
		}
	}
	secret := key.NewSecret()
	spec := key.Spec{Team: req.Team, Label: req.Label, Created: time.Now().UTC()}
	id := key.IDOf(secret)
	if _, err := a.store.Create(r.Context(), objstore.KindKey, string(id), spec); err != nil {
		return nil, err
	}
	return Key{ID: id, Secret: secret, Spec: spec}, nil
}

func (a *API) withdrawKey(r *http.Request) (any, error) {
	var req WithdrawKey
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	id := key.ID(r.PathValue("id"))
	spec, err := a.writeWithdrawal(r.Context(), id, req.CutActive)
	if err != nil {
		return nil, err
	}
	pending := a.broadcaster.Broadcast(r.Context(), catalog.Withdrawal{ID: id, At: *spec.Withdrawn, CutActive: spec.CutActive})
	return Key{ID: id, Spec: spec, PendingHosts: pending}, nil
}

// writeWithdrawal marks the stored key as withdrawn. On a write conflict it reads
// the key again and retries, because a withdrawal is idempotent.
func (a *API) writeWithdrawal(ctx context.Context, id key.ID, cutActive bool) (key.Spec, error) {
	var err error
	for range maxWithdrawAttempts {
		var stored objstore.Object
		if stored, err = a.store.Get(ctx, objstore.KindKey, string(id)); err != nil {
			return key.Spec{}, err
		}
		var before key.Spec
		if err := stored.Decode(&before); err != nil {
			return key.Spec{}, err
		}
		after := before.Withdraw(time.Now().UTC(), cutActive)
		if after == before {
			return after, nil
		}
		if _, err = a.store.Update(ctx, objstore.KindKey, string(id), stored.Version, after); err == nil {
			return after, nil
		}
		if !errors.Is(err, objstore.ErrConflict) {
			break
		}
	}
	return key.Spec{}, err
}
