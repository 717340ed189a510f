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

// call makes one JSON call and returns the status code. It decodes a successful
// response into out unless out is nil.
func call(ctx context.Context, method, target, token string, in, out any) (int, error) {
	reqBody, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(reqBody))
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
		return resp.StatusCode, errors.Wrap(err, "read response")
	}
	if out == nil || resp.StatusCode >= 300 {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.StatusCode, errors.Wrap(err, "decode response")
	}
	return resp.StatusCode, nil
}

// callAdmin makes one call to the admin API of the first host.
func (f *fleet) callAdmin(ctx context.Context, method, path string, in, out any) error {
	status, err := call(ctx, method, f.hosts[0].adminURL()+path, operatorToken, in, out)
	if err != nil {
		return err
	}
	if status >= 300 {
		return errors.Errorf("%s %s responded with status %d", method, path, status)
	}
	return nil
}

// teams are the demo's teams. The last one sends far above its rate limit.
var teams = []struct {
	name      string
	rateLimit float64 // limit, requests a second
	burst     int
	sendRate  float64 // requests a second
}{
	{"kiosks", 60, 60, 25},
	{"tills", 60, 60, 15},
	{"disputes", 60, 60, 10},
	{"flood", 10, 20, 100},
}

// bundle returns the demo's configuration.
func (f *fleet) bundle() config.Bundle {
	upstreams := map[string]any{}
	for i, e := range f.engines {
		upstreams[fmt.Sprintf("engine-%d", i+1)] = map[string]any{"address": e.url, "slots": engineSlots, "data_centre": "north-1"}
	}
	limits := map[string]any{}
	for _, t := range teams {
		limits[t.name] = map[string]any{"rate": t.rateLimit, "burst": t.burst}
	}
	return config.Bundle{Base: map[string]any{"fleet": map[string]any{
		"teams": limits,
		"services": map[string]any{
			model:   map[string]any{"kind": "engine", "models": []any{model}, "upstreams": upstreams},
			"cards": map[string]any{"kind": "plain", "upstreams": map[string]any{"cards-1": map[string]any{"address": f.serviceURL}}},
		},
		"routes": map[string]any{"disputes": map[string]any{"path": "/disputes", "methods": []any{"POST"}, "service": "cards"}},
	}}}
}

// lowestRevision returns the lowest revision in effect on the running hosts, or -1 if
// it is unknown.
func (f *fleet) lowestRevision(ctx context.Context) int64 {
	var list admin.List[admin.HostStatus]
	if err := f.callAdmin(ctx, http.MethodGet, "/admin/v1/hosts", nil, &list); err != nil {
		return -1
	}
	revisions := map[string]int64{}
	for _, h := range list.Items {
		revisions[h.Name] = h.Revision
	}
	lowest := int64(math.MaxInt64)
	for _, h := range f.runningHosts() {
		lowest = min(lowest, revisions[h.settings.Name])
	}
	return lowest
}

// setUp applies the configuration, creates a key for each team, and waits until every
// host uses them.
func (f *fleet) setUp(ctx context.Context) (map[string]admin.Key, error) {
	var revision config.Revision
	if err := f.callAdmin(ctx, http.MethodPost, "/admin/v1/config", admin.ApplyConfig{Bundle: f.bundle(), Author: "demo"}, &revision); err != nil {
		return nil, err
	}
	if err := pollUntil(ctx, func() bool { return f.lowestRevision(ctx) >= revision.Number }); err != nil {
		return nil, errors.Wrap(err, "the configuration is not in force")
	}
	keys := map[string]admin.Key{}
	for _, t := range teams {
		var k admin.Key
		if err := f.callAdmin(ctx, http.MethodPost, "/admin/v1/keys", admin.CreateKey{Team: t.name}, &k); err != nil {
			return nil, err
		}
		keys[t.name] = k
	}
	for _, h := range f.hosts {
		for _, k := range keys {
			if err := pollUntil(ctx, func() bool { return f.acceptsKey(ctx, h, k.Secret) }); err != nil {
				return nil, errors.Wrap(err, "a key is not accepted by every host")
			}
		}
	}
	return keys, nil
}

// acceptsKey reports whether the host accepts the key.
func (f *fleet) acceptsKey(ctx context.Context, h *host, secret string) bool {
	status, err := call(ctx, http.MethodGet, h.callerURL()+"/v1/models", secret, nil, nil)
	return err == nil && status == http.StatusOK
}
