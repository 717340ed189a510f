package mesh_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/mesh"
)

// silentRelay forwards connections to the target. Those that are open when silence is called go
// silent for good.
type silentRelay struct {
	net.Listener
	target  string
	silence atomic.Int64 // calls so far
}

func newSilentRelay(c *qt.C, target string) *silentRelay {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = socket.Close() })
	r := &silentRelay{Listener: socket, target: target}
	go func() {
		for {
			in, err := socket.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go r.copy(out, in)
			go r.copy(in, out)
		}
	}()
	return r
}

// copy forwards one direction of a connection, and closes both ends with it.
func (r *silentRelay) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	opened := r.silence.Load()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.silence.Load() > opened {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestCallWaitsOnASilentConnection guards against calls to a host of the cell that fail on a
// connection that went silent longer ago than the time after which hosts count as in touch.
func TestCallWaitsOnASilentConnection(t *testing.T) {
	c := qt.New(t)
	a, b := newTestHost(t, "a", "127.0.0.1:0"), newTestHost(t, "b", "127.0.0.1:0")
	relay := newSilentRelay(c, b.state.Address)
	address := relay.Addr().String()
	a.mesh.SetPeers(map[string]bool{address: true})
	c.Assert(b.awaitState("a", func(mesh.State) bool { return true }), qt.IsTrue)
	_, err := a.mesh.FetchSnapshot(context.Background(), address, mesh.Versions{})
	c.Assert(err, qt.IsNil)
	relay.silence.Add(1)
	time.Sleep(3 * time.Second)
	_, err = a.mesh.FetchSnapshot(context.Background(), address, mesh.Versions{})
	c.Assert(err, qt.IsNil)
}
