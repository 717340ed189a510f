// Package team defines a team: the customer whose requests share a rate limit, a
// scheduling weight and usage counts.
package team

import (
	"math"
	"regexp"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Spec is the operator's definition of a team.
type Spec struct {
	Rate   float64 `json:"rate"`             // requests per second over the whole fleet
	Burst  int     `json:"burst"`            // requests that may arrive at once
	Weight float64 `json:"weight,omitempty"` // share of contended capacity; 0 means 1
}

// EffectiveWeight returns the weight, or its default of 1 if it is not set.
func (s Spec) EffectiveWeight() float64 {
	if s.Weight == 0 {
		return 1
	}
	return s.Weight
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the name is valid for a team, a service, a route or an
// upstream.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns an error for the first invalid field, or nil.
func (s Spec) Validate() error {
	switch {
	case !(s.Rate > 0) || math.IsInf(s.Rate, 1):
		return apierr.New(apierr.Invalid, "rate must be above zero", "give the requests a second that the team may send").At("rate")
	case s.Burst < 1:
		return apierr.New(apierr.Invalid, "burst must be at least 1", "give the requests that may come at once").At("burst")
	case !(s.Weight >= 0) || math.IsInf(s.Weight, 1):
		return apierr.New(apierr.Invalid, "weight must not be negative", "leave it out for the weight of 1").At("weight")
	}
	return nil
}
