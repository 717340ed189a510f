package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/team"
)

// Limiter decides whether a team's request is within its rate and burst.
type Limiter interface {
	// Take charges one request to the team. A refusal is an *apierr.Error that
	// tells when to come back.
	Take(ctx context.Context, name string, spec team.Spec) error
}

// EvenSplit gives every host an equal, fixed part of each team's rate and
// burst. It is the baseline that shared limits are measured against.
type EvenSplit struct {
	hosts int

	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewEvenSplit returns a limiter for one of that many hosts.
func NewEvenSplit(hosts int) *EvenSplit {
	return &EvenSplit{hosts: max(hosts, 1), buckets: map[string]*Bucket{}}
}

// Take implements Limiter.
func (l *EvenSplit) Take(_ context.Context, name string, spec team.Spec) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	part := 1 / float64(l.hosts)
	b := l.buckets[name]
	if b == nil {
		fresh := NewBucket(spec.Rate*part, float64(spec.Burst)*part, float64(spec.Burst)*part, now)
		b = &fresh
		l.buckets[name] = b
	}
	b.Rate, b.Capacity = spec.Rate*part, float64(spec.Burst)*part
	if b.Take(1, now) {
		return nil
	}
	return Refusal(name, b.Wait(1, now))
}

// Refusal returns the error of a request above its team's rate.
func Refusal(name string, wait time.Duration) *apierr.Error {
	return apierr.Newf(apierr.RateLimited, "send again after the time in Retry-After, or ask the operators for a higher rate",
		"team %q is above its rate and burst", name).WithRetryAfter(wait)
}
