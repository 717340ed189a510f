// Package fleet holds what the operator has configured and what upstreams have
// registered: routes, teams, keys, services and upstreams.
//
// Contract: a Config is immutable once it is shared. Nothing here does I/O.
package fleet

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of route.
const (
	Idempotent Kind = iota // may run more than once
	Once                   // runs at most once
	Stream                 // answers with events; runs at most once unless resumable
	Batch                  // takes jobs, whose items are streams
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream", "batch"}[k]
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets
}

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name, Host, Prefix string // the prefix begins and ends with a slash
	Kind               Kind
	Targets            []Target
	Timeout            time.Duration // longest time that a request may take
	Aim                time.Duration // in which the answer, or its first event, should come
	GapAim             time.Duration // between two events of a stream
	Priority           int           // 0 is the highest
	MaxAttempts        int           // upstreams that one request may run at
	Public             bool          // needs no key
	Resumable          bool          // a stream may go on at another upstream
	Batch              BatchTerms    // of a Batch route
}

// Repeatable reports whether a request of the route may run again, in whole or
// from the last event on.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || r.Resumable
}

// BatchTerms are the terms of a batch route.
type BatchTerms struct {
	Due              time.Duration // all results, counted from the submission
	Retention        time.Duration // after which an item may be given up
	MaxWaitingTokens int64         // of one team on all hosts; 0 is no limit
}

// Team is a team and its rate.
type Team struct {
	Name     string
	Priority *int    // in place of the route's, where it is set
	Rate     float64 // requests a second on all hosts; 0 is no limit
	Burst    float64 // requests
}

// Limits bound what callers may send, and how slowly.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration // of a connection between two requests
}

// Service is a group of upstreams that serve the same.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // to one upstream, from all hosts together
	Slots          int // requests that an upstream runs at once, where its entry tells none
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // key to the name of its team
	Limits   Limits
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// RouteNamed returns the route with the name, or nil.
func (c *Config) RouteNamed(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// ServesBatch reports whether the host name has a batch route.
func (c *Config) ServesBatch(host string) bool {
	for i := range c.Routes {
		if c.Routes[i].Host == host && c.Routes[i].Kind == Batch {
			return true
		}
	}
	return false
}

// KeyRequired reports whether requests of the route need a key.
func (c *Config) KeyRequired(r *Route) bool { return len(c.Teams) > 0 && !r.Public }

// PriorityOf returns the rank of a team's requests on the route.
func (c *Config) PriorityOf(r *Route, team string) int {
	if t, ok := c.Teams[team]; ok && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// PickTarget returns the service for a point of the unit interval, or "" when
// the route has none.
func (r *Route) PickTarget(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := point * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return ""
}

// Upstream is a registered upstream.
type Upstream struct {
	ID         string // of this entry; mostly another one after a restart
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int
	Leaving    bool      // takes no new work
	Started    time.Time // another start is another incarnation
}
