package httpengine

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAbortedCallBlocksLaterWrites covers a cancelled call whose error is returned
// before the transport writes the request.
func TestAbortedCallBlocksLaterWrites(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	read := make(chan int, 2)
	go func() {
		buf := make([]byte, 8)
		n, _ := far.Read(buf)
		read <- n
	}()
	conn := &guardedConn{Conn: near}
	var tracker callTracker
	tracker.setConn(conn)
	c.Assert(tracker.abort(), qt.IsFalse)
	_, err := conn.Write([]byte("late"))
	c.Assert(err, qt.ErrorIs, net.ErrClosed)
	_ = near.Close()
	c.Assert(<-read, qt.Equals, 0)
}
