package httpengine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/masticscale/masticscale/internal/bodyend"
)

// guardedConn records whether any byte of the current request was written, and
// can block all further writes.
type guardedConn struct {
	net.Conn
	writing sync.Mutex // held while a write is made

	mu          sync.Mutex
	active      bool
	written     bool
	writeFailed bool
	blocked     bool
	permit      func() error       // called before the current request's first byte; may be nil
	endRead     bool               // the end of the connection was read
	end         *bodyend.ConnState // when the end of the connection was read; nil before
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := c.allowWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
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
	encrypted      bool       // conn carries TLS
	writeResult    chan error // of writing the request to conn
	mayHaveWritten bool       // the call used a connection that is not guarded, or wrote on an earlier one
}

func (t *callTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { t.setConn(info.Conn) }, WroteRequest: t.setWritten}
}

func (t *callTracker) setConn(conn net.Conn) {
	tlsConn, encrypted := conn.(*tls.Conn)
	if encrypted {
		conn = tlsConn.NetConn()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.encrypted, t.writeResult = encrypted, make(chan error, 1)
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
