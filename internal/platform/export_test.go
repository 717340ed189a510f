package platform

import (
	"context"
	"net/http"
	"time"
)

// SetTransport replaces the client's connections.
func (c *Client) SetTransport(t http.RoundTripper) { c.http.Transport = t }

// SetSleep replaces the waits between tries.
func (c *Client) SetSleep(f func(context.Context, time.Duration) bool) { c.sleep = f }
