package httpengine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// guardedConn records whether any byte of the current request was written, and
// can block all further writes.
type guardedConn struct {
	net.Conn

	mu      sync.Mutex
	active  bool
	written bool
	blocked bool
	permit  func() error // called before the current request's first byte; may be nil
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *guardedConn) allowWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return net.ErrClosed
	}
	if c.active && !c.written && c.permit != nil {
		if err := c.permit(); err != nil {
			c.blocked = true
			return err
		}
	}
	c.written = c.written || c.active
	return nil
}

// startRequest prepares for the first byte of a new request, which is written
// only if permit returns no error.
func (c *guardedConn) startRequest(permit func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	c.written = false
	c.permit = permit
}

// blockWrites blocks further writes and reports whether any byte of the current
// request may have been written.
func (c *guardedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.written
}

func dialGuarded(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// callTracker tracks the connections that the transport uses for one call.
type callTracker struct {
	permit func() error // permit of the call; may be nil

	mu             sync.Mutex
	conn           *guardedConn
	mayHaveWritten bool // the call used a connection that is not guarded, or wrote on an earlier one
}

func (t *callTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { t.setConn(info.Conn) }}
}

func (t *callTracker) setConn(conn net.Conn) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.blockWrites() {
		t.mayHaveWritten = true
	}
	guarded, ok := conn.(*guardedConn)
	if !ok {
		t.mayHaveWritten = true
		return
	}
	t.conn = guarded
	guarded.startRequest(t.permit)
}

// abort blocks further writes for a failed call, and reports whether any byte of
// the call may have been sent.
func (t *callTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.blockWrites() {
		return true
	}
	return t.mayHaveWritten
}
