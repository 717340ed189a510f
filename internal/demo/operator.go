package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/config"
)

// call makes one JSON call and returns the status.
func call(ctx context.Context, method, target, token string, in, out any) (int, error) {
	text, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(text))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call host")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, errors.Wrap(err, "read answer")
	}
	if out == nil || resp.StatusCode >= 300 {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.StatusCode, errors.Wrap(err, "decode answer")
	}
	return resp.StatusCode, nil
}

// operate makes one call of an operator at the first host.
func (f *fleet) operate(ctx context.Context, method, path string, in, out any) error {
	status, err := call(ctx, method, f.hosts[0].operators()+path, operatorToken, in, out)
	if err != nil {
		return err
	}
	if status >= 300 {
		return errors.Errorf("%s %s answered %d", method, path, status)
	}
	return nil
}

// teams are the demo's teams; the last sends far above its rate.
var teams = []struct {
	name  string
	rate  float64 // limit, requests a second
	burst int
	sends float64 // requests a second
}{
	{"kiosks", 60, 60, 25},
	{"tills", 60, 60, 15},
	{"disputes", 60, 60, 10},
	{"flood", 10, 20, 100},
}

// bundle is the demo's configuration.
func (f *fleet) bundle() config.Bundle {
	upstreams := map[string]any{}
	for i, e := range f.engines {
		upstreams[fmt.Sprintf("engine-%d", i+1)] = map[string]any{"address": e.url, "slots": engineSlots, "data_centre": "north-1"}
	}
	limits := map[string]any{}
	for _, t := range teams {
		limits[t.name] = map[string]any{"rate": t.rate, "burst": t.burst}
	}
	return config.Bundle{Base: map[string]any{"fleet": map[string]any{
		"teams": limits,
		"services": map[string]any{
			model:   map[string]any{"kind": "engine", "models": []any{model}, "upstreams": upstreams},
			"cards": map[string]any{"kind": "plain", "upstreams": map[string]any{"cards-1": map[string]any{"address": f.service}}},
		},
		"routes": map[string]any{"disputes": map[string]any{"path": "/disputes", "methods": []any{"POST"}, "service": "cards"}},
	}}}
}

// lowestRevision returns the lowest revision in force on a running host, or -1
// when that cannot be told.
func (f *fleet) lowestRevision(ctx context.Context) int64 {
	var list admin.List[admin.HostStatus]
	if err := f.operate(ctx, http.MethodGet, "/admin/v1/hosts", nil, &list); err != nil {
		return -1
	}
	revisions := map[string]int64{}
	for _, h := range list.Items {
		revisions[h.Name] = h.Revision
	}
	lowest := int64(math.MaxInt64)
	for _, h := range f.running() {
		lowest = min(lowest, revisions[h.settings.Name])
	}
	return lowest
}

// setUp applies the configuration and makes a key for each team.
func (f *fleet) setUp(ctx context.Context) (map[string]admin.Key, error) {
	var revision config.Revision
	if err := f.operate(ctx, http.MethodPost, "/admin/v1/config", admin.ApplyConfig{Bundle: f.bundle(), Author: "demo"}, &revision); err != nil {
		return nil, err
	}
	if err := await(ctx, func() bool { return f.lowestRevision(ctx) >= revision.Number }); err != nil {
		return nil, errors.Wrap(err, "the configuration is not in force")
	}
	keys := map[string]admin.Key{}
	for _, t := range teams {
		var k admin.Key
		if err := f.operate(ctx, http.MethodPost, "/admin/v1/keys", admin.CreateKey{Team: t.name}, &k); err != nil {
			return nil, err
		}
		keys[t.name] = k
	}
	for _, h := range f.hosts {
		for _, k := range keys {
			if err := await(ctx, func() bool { return f.accepts(ctx, h, k.Secret) }); err != nil {
				return nil, errors.Wrap(err, "a key is not known everywhere")
			}
		}
	}
	return keys, nil
}

// accepts reports whether a host takes a key.
func (f *fleet) accepts(ctx context.Context, h *host, secret string) bool {
	status, err := call(ctx, http.MethodGet, h.callers()+"/v1/models", secret, nil, nil)
	return err == nil && status == http.StatusOK
}
