package objstore

import (
	"context"
	"time"
)

// SetSleep replaces the waits between tries.
func (c *Client) SetSleep(f func(context.Context, time.Duration) bool) { c.sleep = f }
