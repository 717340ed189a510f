package callerlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// listener accepts connections of callers within bounds.
type listener struct {
	net.Listener
	guard *Guard
	table *table
	heads bool // connections speak HTTP/1, and their heads are counted

	mu    sync.Mutex
	conns map[*entry]*conn
}

// Listen bounds the connections of a TCP listener whose server speaks HTTP/1. The server
// must have ConnState and ConnContext of this package. Connections that aren't TCP have no
// bounds.
func (g *Guard) Listen(l net.Listener, bounds Bounds) net.Listener { return g.listen(l, bounds, true) }

// ListenHTTP2 is like Listen for a server that speaks HTTP/2: it bounds only the number of
// connections, since one carries several requests at a time. The server must have ConnState.
func (g *Guard) ListenHTTP2(l net.Listener, open int) net.Listener {
	return g.listen(l, Bounds{Open: open}, false)
}

func (g *Guard) listen(l net.Listener, bounds Bounds, heads bool) net.Listener {
	bounded := &listener{Listener: l, guard: g, table: newTable(bounds), heads: heads, conns: map[*entry]*conn{}}
	bounded.table.multiplexed = !heads
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, bounded)
	return bounded
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	if l.heads && l.guard.account.limit > 0 {
		_ = tcp.SetReadBuffer(receiveBuffer) // fails only on a closed connection
	}
	c := &conn{TCPConn: tcp, listener: l, memory: l.guard.account.hold(time.Now())}
	l.close(l.add(c), TooManyConnections)
	return c, nil
}

// add adds a connection and returns one that must be closed to make room.
func (l *listener) add(c *conn) (victim *entry) {
	l.mu.Lock() // until the connection can be found by its entry
	defer l.mu.Unlock()
	c.entry, victim = l.table.add(time.Now(), l.guard.limits().Idle)
	l.conns[c.entry] = c
	return victim
}

// conn is the connection of a caller.
type conn struct {
	*net.TCPConn
	listener *listener
	entry    *entry

	mu     sync.Mutex
	head   headCounter
	memory *Body // of the head
	phase  phase
}

// close closes the connection of an entry that the table has dropped. net/http then ends
// what it does with it.
func (l *listener) close(e *entry, why Reason) {
	if e == nil {
		return
	}
	l.mu.Lock()
	c := l.conns[e]
	l.mu.Unlock()
	if c == nil {
		return
	}
	open, unfinished := l.table.counts()
	_ = c.Close() // its peer may have closed it
	l.guard.report(why, logrus.Fields{"caller": c.RemoteAddr().String(), "open": open, "listener_unfinished": unfinished})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.memory.Close()
	c.listener.table.remove(c.entry)
	c.listener.mu.Lock()
	delete(c.listener.conns, c.entry)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// move changes the phase of the connection.
func (c *conn) move(to phase) {
	c.mu.Lock()
	c.phase = to
	if to == phaseIdle {
		c.head = headCounter{}
	}
	c.mu.Unlock()
	c.listener.close(c.listener.table.move(c.entry, to, time.Now()), TooManyConnections)
}

// errRefused ends the connection without a response of net/http.
var errRefused = errors.New("the head was refused")

// Read implements io.Reader. It counts the bytes of heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	why, victim := c.count(p[:n])
	c.listener.close(victim, TooManyConnections)
	if why != "" {
		c.refuse(why)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return n, err
}

// count counts the bytes if they are of a head. It returns the reason to refuse the head, if
// there is one, and another connection that must be closed to make room.
func (c *conn) count(text []byte) (why Reason, victim *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.heads || c.phase != phaseHead && c.phase != phaseIdle {
		return "", nil
	}
	if c.head.bytes == 0 {
		c.phase = phaseHead
		if victim = c.listener.table.beginHead(c.entry, time.Now()); victim == c.entry {
			return TooManyConnections, nil
		}
	}
	before := c.head.cost()
	if why := c.head.add(text, c.listener.guard.limits()); why != "" {
		return why, victim
	}
	if !c.memory.Reserve(c.head.cost() - before) {
		return HeadExceedsMemory, victim
	}
	return "", victim
}

var refusals = map[Reason]string{
	HeadExceedsMemory:  notRun,
	TooManyConnections: notRun,
	HeadTooLong:        headRefusal,
	TooManyLines:       headRefusal,
	EmptyLines:         "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

const (
	notRun      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refuse responds to a head that hasn't been read to its end.
func (c *conn) refuse(why Reason) {
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte(refusals[why])) // a failed write means that the caller has left
	c.listener.guard.report(why, logrus.Fields{"caller": c.RemoteAddr().String(), "head_bytes": head.bytes, "head_lines": head.lines})
}

// ConnState follows the connections of the listeners of guards. It is the ConnState of
// their http.Server.
func ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch {
	case state == http.StateActive && c.listener.heads:
		c.move(phaseBody)
	case state == http.StateActive:
		c.move(phaseBusy)
	case state == http.StateIdle:
		c.memory.ReleaseAll()
		c.move(phaseIdle)
	}
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests.
func ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// RequestComplete records that the request of the context has been read to its end: its
// connection no longer counts as unfinished.
func RequestComplete(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.move(phaseBusy)
	}
}

// CompleteWithoutBody records that requests without a body are complete before next serves
// them, for handlers that don't call RequestComplete.
func CompleteWithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			RequestComplete(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}
