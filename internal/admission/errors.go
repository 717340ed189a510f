package admission

import (
	"context"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
)

func cancellationError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return timeoutError()
	}
	return apierr.New(apierr.Cancelled, "the caller went away", "")
}

func timeoutError() error {
	return apierr.New(apierr.Timeout, "no upstream was free in time", "send it again later").WithRetryAfter(minRetryAfter)
}

func overloadedError(message string, retryAfter time.Duration) error {
	return apierr.New(apierr.Overloaded, message, "send it again after the time in Retry-After").
		WithRetryAfter(max(retryAfter, minRetryAfter))
}

func unavailableError(retryIn time.Duration) error {
	return apierr.New(apierr.Unavailable, "every upstream of the service is down or leaving",
		"send it again after the time in Retry-After").WithRetryAfter(max(retryIn, minRetryAfter))
}

func stoppingError() error {
	return apierr.New(apierr.Unavailable, "the host is stopping", "send it to another host").WithRetryAfter(minRetryAfter)
}
