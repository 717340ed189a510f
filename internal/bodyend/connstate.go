package bodyend

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ConnState is the state of a connection whose end was read and that this side hasn't closed.
type ConnState struct {
	// Reset states that the connection was reset. A read doesn't show it if a write got the
	// error of the reset before, or if the reset came after a regular end.
	Reset bool
	// Unacknowledged is the number of bytes that the other side hasn't received. A system
	// sends the end of a connection after it has acknowledged what it received before.
	Unacknowledged int
}

// tcpStateClosed is the state of a TCP connection without an end of its own. One whose end was
// received and not yet answered has another state.
const tcpStateClosed = 7

// ConnStateOf returns the state of a TCP connection, and the zero value for any other.
func ConnStateOf(conn net.Conn) ConnState {
	var state ConnState
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return state
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return state
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a connection that this side has closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return // not TCP
		}
		state.Reset = info.State == tcpStateClosed
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && !state.Reset {
			state.Unacknowledged = queued
		}
	})
	return state
}
