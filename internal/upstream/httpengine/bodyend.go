package httpengine

import (
	"context"
	"io"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/bodyend"
)

// undelimitedBody is a body that ends with its connection.
type undelimitedBody struct {
	io.ReadCloser
	ctx     context.Context
	tracker *callTracker
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if incomplete := b.tracker.end(b.ctx).Check(); incomplete != nil {
			err = incomplete
		}
	}
	return n, err
}

// Read implements net.Conn. It records the state of the connection at its end, before the
// transport closes it.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.recordEnd()
	}
	return n, err
}

// recordEnd records the end before it takes the connection's state, so that each write either
// ends before and is part of the state, or counts as failed.
func (c *guardedConn) recordEnd() {
	settled := c.lockSettledWrite()
	c.mu.Lock()
	c.endRead = true
	c.mu.Unlock()
	if settled {
		c.writing.Unlock()
	}
	state := bodyend.ConnStateOf(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = &state
}

const (
	// maxSettleTime limits the wait for the result of a write whose bytes were received. It is
	// used up only if the system doesn't tell what was received.
	maxSettleTime = 500 * time.Millisecond
	settlePoll    = time.Millisecond
)

// lockSettledWrite locks writing, and returns false if a write goes on. An upstream may respond
// and close as soon as it has the last bytes, before the goroutine that wrote them runs again.
func (c *guardedConn) lockSettledWrite() bool {
	for range int(maxSettleTime / settlePoll) {
		if c.writing.TryLock() {
			return true
		}
		if bodyend.ConnStateOf(c.Conn).Unacknowledged > 0 {
			return false
		}
		time.Sleep(settlePoll)
	}
	return false
}

// recordWrite records the result of a write. One that ends once the end was read counts as
// failed: the other side may not read on, and the connection's state doesn't cover it.
func (c *guardedConn) recordWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeFailed = c.writeFailed || err != nil || c.endRead
}

// endState returns the state of the connection at its end, or nil if no end was read. It waits
// for a write that has begun, and returns false if none was made or one failed.
func (c *guardedConn) endState() (*bodyend.ConnState, bool) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.written && !c.writeFailed
}

func (t *callTracker) setWritten(info httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.writeResult <- info.Err:
	default: // the result of an earlier connection, whose call has failed
	}
}

// end returns what is known once the connection of the call has ended. It waits until the
// request was written: the transport closes an ended connection, which ends a write.
func (t *callTracker) end(ctx context.Context) bodyend.End {
	t.mu.Lock()
	conn, encrypted, writeResult := t.conn, t.encrypted, t.writeResult
	t.mu.Unlock()
	select {
	case err := <-writeResult:
		writeResult <- err // the end may be read again
		if err != nil {
			return bodyend.End{RequestUnsent: true}
		}
	case <-ctx.Done():
		return bodyend.End{RequestUnsent: true}
	}
	if conn == nil {
		return bodyend.End{}
	}
	state, written := conn.endState()
	e := bodyend.End{RequestUnsent: !written, NoCloseNotify: encrypted && state != nil}
	if state != nil {
		e.Conn = *state
	}
	return e
}
