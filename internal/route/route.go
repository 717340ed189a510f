// Package route defines a route: the paths and methods that are forwarded to a
// plain service, and the guarantees for these requests.
package route

import (
	"net/http"
	"slices"
	"strings"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Spec is the operator's definition of a route.
type Spec struct {
	Path    string   `json:"path"`              // exact, or a prefix if it ends in "/"
	Methods []string `json:"methods,omitempty"` // empty means all
	Service string   `json:"service"`
	// Repeatable states that a request may safely run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Open states that callers need no key.
	Open bool `json:"open,omitempty"`
	// TimeoutSeconds bounds the duration of one request; 0 is the fleet's default.
	TimeoutSeconds float64 `json:"timeout_seconds,omitempty"`
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Validate returns an error for the first invalid field, or nil.
func (s Spec) Validate() error {
	if !strings.HasPrefix(s.Path, "/") {
		return apierr.Newf(apierr.Invalid, `start the path with "/"`, "path %q is not absolute", s.Path).At("path")
	}
	if s.Path == "/v1/" || strings.HasPrefix(s.Path, "/v1/") {
		return apierr.Newf(apierr.Invalid, "choose another path", "path %q belongs to the model API", s.Path).At("path")
	}
	for _, m := range s.Methods {
		if !slices.Contains(knownMethods, m) {
			return apierr.Newf(apierr.Invalid, "write methods in capitals, as in POST", "method %q is not known", m).At("methods")
		}
	}
	if s.Service == "" {
		return apierr.New(apierr.Invalid, "the route names no service", "name a plain service").At("service")
	}
	if s.TimeoutSeconds < 0 {
		return apierr.New(apierr.Invalid, "timeout_seconds is negative", "leave it out for the default").At("timeout_seconds")
	}
	return nil
}

// Overlaps reports whether a request can match both routes equally well.
func (s Spec) Overlaps(other Spec) bool {
	if s.Path != other.Path {
		return false
	}
	if len(s.Methods) == 0 || len(other.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(s.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}

// Matches reports whether the route matches a request, and the specificity of the
// match: a longer path is more specific, and an exact match more than a prefix.
func (s Spec) Matches(method, path string) (int, bool) {
	if len(s.Methods) > 0 && !slices.Contains(s.Methods, method) {
		return 0, false
	}
	if s.Path == path {
		return len(s.Path) + 1, true
	}
	if strings.HasSuffix(s.Path, "/") && strings.HasPrefix(path, s.Path) {
		return len(s.Path), true
	}
	return 0, false
}
