package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/masticscale/masticscale/internal/catalog"
)

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{`{"model":"m"}`, `{"model":"m","model":"n"}`, `{"Model":"n","model":"m"}`, `[]`, `{"model":{}}`, `{"m\u006fdel":"n","model":"m"}`, "{", ""} {
		f.Add([]byte(seed))
	}
	s := &catalog.Snapshot{Models: map[string]string{"m": "service-m", "n": "service-n"}}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, name, err := parseCompletion(s, body)
		if err != nil {
			return
		}
		if name != s.Models[req.Model] {
			t.Fatalf("model %q led to service %q", req.Model, name)
		}
		var exact map[string]any // as a case-sensitive engine reads it
		if json.Unmarshal(body, &exact) != nil || exact["model"] != req.Model {
			t.Fatalf("host read model %q, an engine reads %v", req.Model, exact["model"])
		}
	})
}

func FuzzSecretOf(f *testing.F) {
	f.Add("Bearer a", "a")
	f.Add("bearer  a ", "b")
	f.Add("Basic a", "")
	f.Fuzz(func(t *testing.T, authorization, key string) {
		h := http.Header{"Authorization": {authorization}}
		if key != "" {
			h["X-Api-Key"] = []string{key}
		}
		secret, err := callerKey(h)
		if err == nil && (secret == "" || key != "" && secret != strings.TrimSpace(key)) {
			t.Fatalf("%q was taken from %q and %q", secret, authorization, key)
		}
	})
}

func FuzzPath(f *testing.F) {
	for _, seed := range []string{"/a/../b", "/a/%2e%2e/b", "/a//b", "/a/b/", "/%2f", "/a%5c..", "/a/..;/b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI(raw)
		if err != nil || isAmbiguousPath(u.Path, u.EscapedPath()) {
			return
		}
		sent, err := url.PathUnescape(u.EscapedPath())
		if err != nil || sent != u.Path {
			t.Fatalf("routed by %q, sent as %q", u.Path, sent)
		}
		if strings.TrimSuffix(path.Clean(sent), "/") != strings.TrimSuffix(sent, "/") {
			t.Fatalf("%q names another path", sent)
		}
	})
}
