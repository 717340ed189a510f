package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/internal/platform"
)

// ApplyConfig asks for a bundle to be put in force.
type ApplyConfig struct {
	Bundle   config.Bundle `json:"bundle"`
	Author   string        `json:"author,omitempty"`
	Note     string        `json:"note,omitempty"`
	Expected *int64        `json:"expected,omitempty"` // revision that the operator saw
}

func (a *API) showConfig(r *http.Request) (any, error) {
	o, err := a.store.Get(r.Context(), platform.KindPointer, catalog.PointerName)
	if err != nil {
		return nil, err
	}
	var p catalog.Pointer
	if err := o.Decode(&p); err != nil {
		return nil, err
	}
	return catalog.ReadRevision(r.Context(), a.store, p)
}

func (a *API) applyConfig(r *http.Request) (any, error) {
	var req ApplyConfig
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	expected := int64(-1)
	if req.Expected != nil {
		expected = *req.Expected
	}
	accepted, err := catalog.Accept(r.Context(), a.store, req.Bundle, req.Author, req.Note, expected)
	if err != nil {
		return nil, err
	}
	a.source.AdoptRevision(accepted) // the relay tells the other hosts
	return accepted, nil
}

func (a *API) configHistory(r *http.Request) (any, error) {
	entries, err := catalog.History(r.Context(), a.store)
	if err != nil {
		return nil, err
	}
	return List[catalog.PointerEntry]{Items: entries}, nil
}

// HostStatus is one host as operators see it.
type HostStatus struct {
	membership.Host
	Reachable           bool    `json:"reachable"`
	Revision            int64   `json:"revision"`
	KnowledgeAgeSeconds float64 `json:"knowledge_age_seconds"`
}

// StatusReader asks a peer for its status.
type StatusReader interface {
	Status(ctx context.Context, host membership.Host) (HostStatus, error)
}

func (a *API) listHosts(r *http.Request) (any, error) {
	members := a.relay.Known(r.Context())
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

func (a *API) listUpstreams(*http.Request) (any, error) {
	list := List[dispatch.Status]{Items: a.pool.Statuses()}
	return list, nil
}

func (a *API) listJobs(r *http.Request) (any, error) {
	team := r.FormValue("team")
	if team == "" {
		return nil, apierr.New(apierr.Invalid, "the query names no team", "add ?team=NAME")
	}
	jobs, err := a.batches.Jobs(r.Context(), team)
	if jobs == nil {
		jobs = []job.Job{}
	}
	return List[job.Job]{Items: jobs}, err
}

// LogLevel asks for another log level.
type LogLevel struct {
	Level string `json:"level"`
}

func (a *API) setLogLevel(r *http.Request) (any, error) {
	var req LogLevel
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	level, err := logrus.ParseLevel(req.Level)
	if err != nil {
		return nil, apierr.Newf(apierr.Invalid, "use debug, info, warning or error", "level %q is not known", req.Level)
	}
	a.log.SetLevel(level)
	return req, nil
}
