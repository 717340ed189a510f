// Package service defines a service: a set of equivalent upstreams, which are either
// model engines or plain HTTP servers.
package service

import (
	"maps"
	"net/url"
	"slices"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/team"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Kind is the kind of a service's upstreams.
type Kind string

// The kinds of service.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// Spec is the operator's definition of a service.
type Spec struct {
	Kind      Kind                     `json:"kind"`
	Models    []string                 `json:"models,omitempty"` // engine services only
	Upstreams map[string]upstream.Spec `json:"upstreams"`
}

// Validate returns an error for the first invalid field, or nil.
func (s Spec) Validate() error {
	if s.Kind != Engine && s.Kind != Plain {
		return apierr.Newf(apierr.Invalid, `write "engine" or "plain"`, "kind %q is not known", s.Kind).At("kind")
	}
	if s.Kind == Engine && len(s.Models) == 0 {
		return apierr.New(apierr.Invalid, "an engine service has no models", "list the model names that callers use").At("models")
	}
	if s.Kind == Plain && len(s.Models) > 0 {
		return apierr.New(apierr.Invalid, "a plain service has models", `remove "models" or set the kind to "engine"`).At("models")
	}
	for i, model := range s.Models {
		if model == "" || slices.Contains(s.Models[:i], model) {
			return apierr.Newf(apierr.Invalid, "list each model once", "model %q is empty or listed twice", model).At("models")
		}
	}
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		u := s.Upstreams[name]
		if other, taken := addresses[u.Address]; taken {
			return apierr.Newf(apierr.Invalid, "list each upstream once", "address %q is that of upstream %q too", u.Address, other).
				At("address").At(name).At("upstreams")
		}
		addresses[u.Address] = name
		if err := validateUpstream(name, u); err != nil {
			return err
		}
	}
	return nil
}

func validateUpstream(name string, u upstream.Spec) error {
	if !team.ValidName(name) {
		return apierr.Newf(apierr.Invalid, "use lower case letters, digits, dots and dashes", "upstream name %q is not valid", name).At("upstreams")
	}
	address, err := url.Parse(u.Address)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		return apierr.Newf(apierr.Invalid, "write http://host:port", "address %q of upstream %q is not an HTTP URL", u.Address, name).At("address").At(name).At("upstreams")
	}
	if u.Slots < 0 {
		return apierr.Newf(apierr.Invalid, "leave slots out for the default", "slots of upstream %q are negative", name).At("slots").At(name).At("upstreams")
	}
	return nil
}
