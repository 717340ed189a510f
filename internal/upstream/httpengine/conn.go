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

	mu     sync.Mutex
	armed  bool
	begun  bool
	sealed bool
	permit func() error // called before the current request's first byte; may be nil
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *guardedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return net.ErrClosed
	}
	if c.armed && !c.begun && c.permit != nil {
		if err := c.permit(); err != nil {
			c.sealed = true
			return err
		}
	}
	c.begun = c.begun || c.armed
	return nil
}

// startRequest prepares for the first byte of a new request, which is written
// only if permit returns no error.
func (c *guardedConn) arm(permit func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
	c.begun = false
	c.permit = permit
}

// blockWrites blocks further writes and reports whether any byte of the current
// request may have been written.
func (c *guardedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.begun
}

func guardedDial(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// callTracker tracks the connections that the transport uses for one call.
type sending struct {
	permit func() error // permit of the call; may be nil

	mu      sync.Mutex
	conn    *guardedConn
	unknown bool // the call used a connection that is not guarded, or wrote on an earlier one
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.use(info.Conn) }}
}

func (s *sending) use(conn net.Conn) {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.seal() {
		s.unknown = true
	}
	guarded, ok := conn.(*guardedConn)
	if !ok {
		s.unknown = true
		return
	}
	s.conn = guarded
	guarded.arm(s.permit)
}

// abort blocks further writes for a failed call, and reports whether any byte of
// the call may have been sent.
func (s *sending) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.seal() {
		return true
	}
	return s.unknown
}
