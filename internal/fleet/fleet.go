// Package fleet defines the operator's configuration (routes, teams, keys and
// services) and the registered upstreams.
//
// A Config is immutable once it is shared. The package does no I/O.
package fleet

import (
	"strings"
	"time"
)

// Kind is a route's delivery guarantee: whether its requests may run again.
type Kind int

// The kinds of route.
const (
	Idempotent Kind = iota // may run more than once
	Once                   // runs at most once
	Stream                 // responds with an event stream; runs at most once unless resumable
	Batch                  // accepts jobs, whose items are streams
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream", "batch"}[k]
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // relative to the other targets
}

// Route forwards the requests of a host name and path prefix to services.
type Route struct {
	Name, Host, Prefix string // the prefix begins and ends with a slash
	Kind               Kind
	Targets            []Target
	Timeout            time.Duration // upper bound of a request's duration
	LatencyTarget      time.Duration // latency target of the response, or of a stream's first event
	EventGapTarget     time.Duration // latency target between two events of a stream
	Priority           int           // 0 is the highest
	MaxAttempts        int           // upstreams that a request may be sent to
	Public             bool          // needs no key
	Resumable          bool          // a stream may resume at another upstream
	Batch              BatchTerms    // only for the kind Batch
}

// Repeatable reports whether a request of the route may be retried, from the start
// or from the last event.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || r.Resumable
}

// BatchTerms are the time and queue limits of a batch route.
type BatchTerms struct {
	Due              time.Duration // deadline of all results, from the submission on
	Retention        time.Duration // minimum time before an unfinished item may be abandoned
	MaxWaitingTokens int64         // per team, on all hosts together; 0 is no limit
}

// Team is a team with its priority and rate limit.
type Team struct {
	Name     string
	Priority *int    // overrides the route's priority if set
	Rate     float64 // requests per second, on all hosts together; 0 is no limit
	Burst    float64 // requests
}

// Limits bound the size of requests and the time that connections may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // to receive the header
	IdleTime    time.Duration // of a connection between two requests
}

// Service is a group of equivalent upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per upstream, from all hosts together
	Slots          int // default of concurrent requests per upstream
	WarmUp         WarmUp
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	Keys     map[string]string // team names by key
	Limits   Limits
}

// Match returns the route of the host name with the longest prefix that matches the
// path, or nil if no route matches.
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

// RouteNamed returns the route with the given name, or nil if there is none.
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

// PriorityOf returns the priority of a team's requests on the route.
func (c *Config) PriorityOf(r *Route, team string) int {
	if t, ok := c.Teams[team]; ok && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}

// MainTarget returns the service with the greatest weight, or "" if the route has no targets.
func (r *Route) MainTarget() string {
	service, weight := "", 0
	for _, t := range r.Targets {
		if service == "" || t.Weight > weight {
			service, weight = t.Service, t.Weight
		}
	}
	return service
}

// PickTarget maps a point of the unit interval to a service by the targets'
// weights. It returns "" if the route has no targets.
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
	ID         string // of the registration; usually changes on a restart
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int       // concurrent requests
	Leaving    bool      // draining: accepts no new requests
	Started    time.Time // differs between incarnations

	ColdLeft  time.Duration // remaining cold time that the entry stated when it was read; negative if none
	EntryHash uint64        // differs between entries as they were read
}
