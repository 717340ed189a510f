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
	// Take charges one request to the team. The error of a refused request is an
	// *apierr.Error with the time after which to retry.
	Take(ctx context.Context, name string, spec team.Spec) error
}

// EvenSplit is a Limiter that gives every host an equal, fixed part of each team's
// rate and burst. It is the baseline for measurements of ShareLimiter.
type EvenSplit struct {
	hosts int

	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewEvenSplit returns the limiter of one host in a fleet of the given size.
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
		created := NewBucket(spec.Rate*part, float64(spec.Burst)*part, float64(spec.Burst)*part, now)
		b = &created
		l.buckets[name] = b
	}
	b.Rate, b.Capacity = spec.Rate*part, float64(spec.Burst)*part
	if b.Take(1, now) {
		return nil
	}
	return Refusal(name, b.Wait(1, now))
}

// Refusal returns the error for a request above its team's rate, to be retried
// after wait.
func Refusal(name string, wait time.Duration) *apierr.Error {
	return apierr.Newf(apierr.RateLimited, "send again after the time in Retry-After, or ask the operators for a higher rate",
		"team %q is above its rate and burst", name).WithRetryAfter(wait)
}
