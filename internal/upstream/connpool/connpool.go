// Package connpool keeps HTTP/1.1 connections to upstreams, one request at a
// time on each.
//
// net/http's Transport repeats some requests by itself and can't tell a late
// answer to an earlier request from the answer to this one, so requests that
// may run only once need a pool that does neither.
//
// Contract: a connection is reused only when nothing has come on it since the
// last answer ended, and not after the time for which the upstream keeps it.
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
)

const (
	dialTimeout   = 500 * time.Millisecond // upstreams are milliseconds away
	probeInterval = time.Second            // between keep-alive probes of a silent connection
	probes        = 2                      // unanswered ones that end a connection
	idleDefault   = 4 * time.Second        // for upstreams that state no timeout
	idlePart      = 0.8                    // of the stated timeout, against a close that crosses a request
	idlePerTarget = 32                     // connections kept to one address
)

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	Reader    *bufio.Reader
	address   string
	idleUntil time.Time
}

// Pool keeps idle connections by address.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes,
		}},
		idle: map[string][]*Conn{},
	}
}

// Get returns an idle connection, or dials one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.idleUntil) && c.quiet() {
			return c, nil
		}
		_ = c.Close() // stale; nothing is lost with it
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to upstream")
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn), address: address}, nil
}

// Reach makes a new connection and keeps it for a request.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.keep(c, idleDefault)
	return nil
}

// take removes the connection that was used last.
func (p *Pool) take(address string) *Conn {
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

// Put gives a connection back after a whole answer with the header.
func (p *Pool) Put(c *Conn, header http.Header) {
	keep := idleTime(header)
	if keep <= 0 || c.Reader.Buffered() > 0 {
		_ = c.Close() // the upstream closes it, or sent more than its answer
		return
	}
	p.keep(c, keep)
}

// keep makes a connection available for the time.
func (p *Pool) keep(c *Conn, idle time.Duration) {
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerTarget {
		_ = c.Close() // more than are needed
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Retain closes the idle connections to other addresses, and those that have
// been idle for too long.
func (p *Pool) Retain(addresses map[string]bool) {
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
			_ = c.Close() // no request is on it
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes the idle connections.
func (p *Pool) Close() { p.Retain(nil) }

// idleTime returns for how long the upstream keeps the connection.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0 // not understood: better not reused
		}
		return time.Duration(float64(seconds) * idlePart * float64(time.Second))
	}
	return idleDefault
}

// quiet reports whether the connection is open and nothing has come on it.
func (c *Conn) quiet() bool {
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
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}
