package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/objstore"
)

// HostStatus is the representation of a host in the API.
type HostStatus struct {
	membership.Host
	Reachable           bool    `json:"reachable"`
	Revision            int64   `json:"revision"`
	KnowledgeAgeSeconds float64 `json:"knowledge_age_seconds"`
}

// StatusReader requests the status of another host.
type StatusReader interface {
	Status(ctx context.Context, host membership.Host) (HostStatus, error)
}

func (a *API) listHosts(r *http.Request) (any, error) {
	members := a.broadcaster.KnownHosts(r.Context())
	list := List[HostStatus]{Items: make([]HostStatus, len(members))}
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			list.Items[i] = a.statusOf(r.Context(), m)
		})
	}
	wg.Wait()
	return list, nil
}

func (a *API) statusOf(ctx context.Context, host membership.Host) HostStatus {
	if self := a.members.Self(); self.Name == host.Name {
		return HostStatus{Host: self, Reachable: true, Revision: a.catalog.Current().Revision,
			KnowledgeAgeSeconds: a.catalog.Age(time.Now()).Seconds()}
	}
	status, err := a.peers.Status(ctx, host)
	if err != nil {
		return HostStatus{Host: host}
	}
	return status
}

// retireHost marks a permanently removed host as gone, so that nothing waits for
// it. The host's object is kept, because a later host of the same name must use
// an epoch above the stored one.
func (a *API) retireHost(r *http.Request) (any, error) {
	name := r.PathValue("name")
	stored, err := a.store.Get(r.Context(), objstore.KindHost, name)
	if err != nil {
		return nil, err
	}
	var host membership.Host
	if err := stored.Decode(&host); err != nil {
		return nil, err
	}
	if a.statusOf(r.Context(), host).Reachable {
		return nil, apierr.Newf(apierr.Conflict, "stop the host first", "host %q answers", name)
	}
	host.State = membership.Gone
	_, err = a.store.Update(r.Context(), objstore.KindHost, name, stored.Version, host)
	return Named[HostStatus]{Name: name, Spec: HostStatus{Host: host}}, err
}
