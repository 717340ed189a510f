package admin

import (
	"maps"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
)

// ApplyConfig is the request to apply a bundle.
type ApplyConfig struct {
	Bundle   config.Bundle `json:"bundle"`
	Author   string        `json:"author,omitempty"` // used with the shared token only
	Note     string        `json:"note,omitempty"`
	Expected *int64        `json:"expected,omitempty"` // current revision as the operator last saw it
}

func (a *API) getConfig(r *http.Request) (any, error) {
	o, err := a.store.Get(r.Context(), objstore.KindPointer, catalog.PointerName)
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
	author := operatorOf(r.Context())
	if author == SharedOperator && req.Author != "" {
		author = req.Author
	}
	accepted, err := catalog.AcceptRevision(r.Context(), a.store, req.Bundle, author, req.Note, expected)
	if err != nil {
		return nil, err
	}
	a.adopter.ApplyRevision(accepted) // the catalog gossip notifies the other hosts
	return accepted, nil
}

func (a *API) configHistory(r *http.Request) (any, error) {
	entries, err := catalog.History(r.Context(), a.store)
	if err != nil {
		return nil, err
	}
	return List[catalog.PointerEntry]{Items: entries}, nil
}

func (a *API) listUpstreams(*http.Request) (any, error) {
	list := List[dispatch.Status]{Items: a.pool.Statuses()}
	return list, nil
}

func (a *API) listJobs(r *http.Request) (any, error) {
	teams := []string{r.FormValue("team")}
	if teams[0] == "" {
		teams = slices.Sorted(maps.Keys(a.catalog.Current().Teams))
	}
	list := List[job.Job]{Items: []job.Job{}}
	for _, team := range teams {
		jobs, err := a.batches.Jobs(r.Context(), team)
		if err != nil {
			return nil, err
		}
		list.Items = append(list.Items, jobs...)
	}
	return list, nil
}

// LogLevel is the request to set the log level.
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
