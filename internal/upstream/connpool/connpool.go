// Package connpool is a pool of HTTP/1.1 connections to upstreams. A connection
// carries one request at a time.
//
// net/http's Transport retries some requests by itself and can mistake a late
// response to an earlier request for the response to the current one. Requests
// that may run only once need a pool that does neither.
//
// Contract: a connection is reused only if no bytes have arrived on it since the
// end of the last response, and only within the upstream's keep-alive timeout.
package connpool

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/masticscale/masticscale/internal/readlimit"
)

const (
	dialTimeout        = 500 * time.Millisecond // upstreams are milliseconds away
	keepAliveInterval  = time.Second            // TCP keep-alive interval
	maxKeepAliveProbes = 2                      // unanswered TCP keep-alive probes before the connection is closed
	defaultIdleTimeout = 4 * time.Second        // for upstreams that announce no keep-alive timeout
	idleTimeoutFactor  = 0.8                    // fraction of the announced timeout; the rest covers a request on its way
	maxIdlePerAddress  = 32                     // idle connections per address
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader    *bufio.Reader
	Reused    bool              // it was idle in the pool before
	limited   *readlimit.Reader // the source of Reader
	address   string
	idleUntil time.Time
}

// Pool holds idle connections by address.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
		}},
		idle: map[string][]*Conn{},
	}
}

// Get returns an idle connection, or dials one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if time.Now().Before(c.idleUntil) && c.isReusable() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close() // expired or unusable; no request is in flight
	}
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to upstream")
	}
	limited := readlimit.NewReader(conn)
	return &Conn{Conn: conn, Reader: bufio.NewReader(limited), limited: limited, address: address}, nil
}

// SetReadLimit limits the bytes that Reader reads from the connection from now on. A
// read beyond the limit fails with a *readlimit.SizeError.
func (c *Conn) SetReadLimit(what string, limit int64) { c.limited.SetLimit(what, limit) }

// ReadError returns the error of the last read from the connection.
func (c *Conn) ReadError() error { return c.limited.Err() }

// ClearReadLimit removes the limit.
func (c *Conn) ClearReadLimit() { c.limited.ClearLimit() }

// Connect dials a new connection and adds it to the pool.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.Dial(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// Put returns a connection to the pool after a complete response with the given
// header.
func (p *Pool) Put(c *Conn, header http.Header) {
	idleTimeout := keepAliveTimeout(header)
	if idleTimeout <= 0 || c.Reader.Buffered() > 0 {
		_ = c.Close() // the upstream closes it, or sent more than the response
		return
	}
	p.putIdle(c, idleTimeout)
}

// putIdle adds a connection to the pool for at most the idle timeout.
func (p *Pool) putIdle(c *Conn, idleTimeout time.Duration) {
	c.idleUntil = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close() // the pool is full
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Prune closes the idle connections that have expired, and those to addresses
// not in the set.
func (p *Pool) Prune(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if addresses[address] && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // no request is in flight
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// CloseIdle closes the idle connections to the address of the given one.
func (p *Pool) CloseIdle(to *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to.address] {
		_ = c.Close() // no request is in flight
	}
	delete(p.idle, to.address)
}

// Close closes the idle connections.
func (p *Pool) Close() { p.Prune(nil) }

// keepAliveTimeout returns how long an idle connection may be reused. It returns
// zero, so that the connection isn't reused, if the timeout can't be parsed.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return time.Duration(float64(seconds) * idleTimeoutFactor * float64(time.Second))
	}
	return defaultIdleTimeout
}

// isReusable reports whether the connection is open and has no unread bytes.
func (c *Conn) isReusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}
