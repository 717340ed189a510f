package objstore

import (
	"context"
	"time"
)

// SetSleep replaces the function that waits between attempts.
func (c *Client) SetSleep(f func(context.Context, time.Duration) bool) { c.sleep = f }
