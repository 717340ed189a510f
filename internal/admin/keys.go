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

const withdrawAttempts = 5

// Key is a key as operators see it.
type Key struct {
	ID     key.ID   `json:"id"`
	Secret string   `json:"secret,omitempty"` // only in the answer that made it
	Spec   key.Spec `json:"spec"`
	// PendingHosts are the known hosts that have not confirmed a withdrawal.
	// One that is cut off may go on taking the key until it is in touch again.
	PendingHosts []string `json:"pending_hosts,omitempty"`
}

// CreateKey asks for a key.
type CreateKey struct {
	Team  string `json:"team"`
	Label string `json:"label,omitempty"`
}

// WithdrawKey asks for the end of a key.
type WithdrawKey struct {
	CutActive bool `json:"cut_active,omitempty"` // end requests in progress too
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
	late := a.relay.PropagateWithdrawal(r.Context(), catalog.Withdrawal{ID: id, At: *spec.Withdrawn, CutActive: spec.CutActive})
	return Key{ID: id, Spec: spec, PendingHosts: late}, nil
}

// writeWithdrawal marks the key's object. A withdrawal is idempotent, so one
// that meets another writer reads again and repeats itself.
func (a *API) writeWithdrawal(ctx context.Context, id key.ID, cutActive bool) (key.Spec, error) {
	var err error
	for range withdrawAttempts {
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
