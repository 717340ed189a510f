package app

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const testTimeout = 30 * time.Second

// logBuffer is a log output that can be read and written concurrently.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func testSettings(c *qt.C, platform string) config.Host {
	s, err := config.Host{
		Name: "h1", Listen: freeAddress(c), AdminListen: freeAddress(c), PeerListen: freeAddress(c),
		Platform: platform, OperatorToken: "token", DrainSeconds: 0.05,
	}.Complete()
	c.Assert(err, qt.IsNil)
	return s
}

func awaitReady(c *qt.C, address string) {
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			c.Fatalf("host is not ready: %v", err)
		}
	}
}

func TestStopLeavesNoGoroutine(t *testing.T) {
	c := qt.New(t)
	before := goleak.IgnoreCurrent()
	platform := httptest.NewServer(objectapi.New().Handler())
	host, err := NewHost(testSettings(c, platform.URL), LogOutput(io.Discard))
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx, context.Background()) }()
	awaitReady(c, host.Settings.Listen)
	stop()
	c.Assert(<-done, qt.IsNil)
	http.DefaultClient.CloseIdleConnections()
	platform.Close()
	c.Assert(goleak.Find(before), qt.IsNil)
}

func TestForcedStopLogsAbortedRequests(t *testing.T) {
	c := qt.New(t)
	log := new(logBuffer)
	logger, err := telemetry.NewLogger(log, "info", "h1")
	c.Assert(err, qt.IsNil)
	h := &Host{components: components{Log: logger}, drainer: newDrainer()}
	entered := make(chan struct{})
	blocked := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listeners := []listener{{name: "callers", server: h.newServer(h.drainer.track(blocked), nil), socket: socket}}
	h.serve(listeners)
	caller := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + socket.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		caller <- err
	}()
	<-entered
	forced, force := context.WithCancel(context.Background())
	force()
	h.shutdown(forced, listeners)
	c.Assert(<-caller, qt.IsNotNil)
	c.Assert(log.String(), qt.Contains, "event=stop_forced")
	c.Assert(log.String(), qt.Contains, "requests_cut=1")
}

func TestStoppingHostSendsConnectionClose(t *testing.T) {
	c := qt.New(t)
	d := newDrainer()
	handler := d.track(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	connectionHeader := func() string {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Header().Get("Connection")
	}
	c.Assert(connectionHeader(), qt.Equals, "")
	d.begin()
	c.Assert(connectionHeader(), qt.Equals, "close")
}
