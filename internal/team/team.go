// Package team is the aggregate of a team: the tenant whose requests are
// counted, limited and scheduled together.
package team

import (
	"math"
	"regexp"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Spec is a team as operators write it.
type Spec struct {
	Rate   float64 `json:"rate"`             // requests a second over the whole fleet
	Burst  int     `json:"burst"`            // requests that may come at once
	Weight float64 `json:"weight,omitempty"` // share of contended capacity; 0 means 1
}

// EffectiveWeight returns the weight in force.
func (s Spec) EffectiveWeight() float64 {
	if s.Weight == 0 {
		return 1
	}
	return s.Weight
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a name may be given to a team, a service, a route
// or an upstream.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns an error that names the first field that is out of range.
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
