package fleethost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/mesh"
)

// freeAddress returns an address on which nothing listens.
func freeAddress(c *qt.C) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

// truncateStream accepts one connection, responds to its request with one event of a stream
// and closes it.
func truncateStream(socket net.Listener) {
	conn, err := socket.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
	_ = r.Body.Close()
}

// TestListenerDoesNotResetTruncatedStreams guards against a listener for callers that doesn't
// let the handler reset the connection of a caller that speaks HTTP/1.0.
func TestListenerDoesNotResetTruncatedStreams(t *testing.T) {
	c := qt.New(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = upstream.Close() }()
	go truncateStream(upstream)
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := Settings{Name: "h", DataCentre: "dc", Store: freeAddress(c), StopSeconds: 1, Listen: Listen{Callers: freeAddress(c)}}
	h := &Host{components: newComponents(settings, log)}
	h.Core.SetConfig(&fleet.Config{Version: 1, Routes: []fleet.Route{{
		Name: "r", Host: "a.example", Prefix: "/", Kind: fleet.Stream, MaxAttempts: 1, Public: true, Timeout: 5 * time.Second, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}}})
	h.Core.SetUpstreams([]fleet.Upstream{{ID: "u", Service: "s", Address: upstream.Addr().String(), Slots: 1}}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, _, err := h.listen(mesh.New(ctx, "", h.Core, h.Runner, h.Syncer, log))
	c.Assert(err, qt.IsNil)
	defer func() { _ = servers[0].http.Close() }()
	conn, err := net.Dial("tcp", settings.Listen.Callers)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	fmt.Fprint(conn, "POST /x HTTP/1.0\r\nHost: a.example\r\n\r\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	text, err := io.ReadAll(conn)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%q, then %v", text, err))
}
