package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admission"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/gateway"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/serving"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

// pipes is a listener without a network, so that virtual time applies.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	here, there := net.Pipe()
	p.conns <- there
	return here
}

// endless is an engine whose answers never end.
type endless struct {
	upstream.Engine
	closed chan time.Time
	kind   string
}

func (e *endless) Start(ctx context.Context, _ string, _ upstream.Call) (*upstream.Answer, error) {
	return &upstream.Answer{Status: 200, Header: http.Header{"Content-Type": {e.kind}}, Body: &endlessBody{ctx, e}}, nil
}

type endlessBody struct {
	ctx context.Context
	e   *endless
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return copy(p, strings.Repeat("data: {}\n\n", 400)), nil
}

func (b *endlessBody) Close() error {
	select {
	case b.e.closed <- time.Now():
	default:
	}
	return nil
}

// inVirtualTime serves the engine on pipes.
func inVirtualTime(t *testing.T, e *endless, test func(c *qt.C, g *gateway.Gateway, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e.closed = make(chan time.Time, 1)
		cat := catalog.New()
		cat.Adopt(1, config.Fleet{Limits: config.Limits{MaxBodyBytes: 1000, RequestTimeoutSeconds: 600}})
		cat.Change(func(p *catalog.Parts) {
			p.Services["cards"] = service.Spec{Kind: service.Plain, Upstreams: map[string]upstream.Spec{"u": {Address: "http://u", Slots: 100}}}
			p.Services["m"] = service.Spec{Kind: service.Engine, Models: []string{"m"}, Upstreams: map[string]upstream.Spec{"u": {Address: "http://u"}}}
			p.Routes["cards"] = route.Spec{Path: "/cards", Service: "cards", Open: true}
			p.Routes["stream"] = route.Spec{Path: "/stream", Service: "cards", Open: true}
		})
		pool := dispatch.NewPool()
		pool.Apply(cat.Current())
		log := logrus.New()
		log.SetOutput(io.Discard)
		metrics := telemetry.NewMetrics()
		control := admission.NewController(pool, metrics)
		suspects := dispatch.NewSuspects(dispatch.FingerprintKey("k"), nil, nil, log)
		path := serving.NewPipeline(control, dispatch.NewDispatcher(pool, e, suspects, metrics))
		g := gateway.New(cat, noLimit{}, path, nil, nil, metrics, log)
		p := &pipes{make(chan net.Conn), make(chan struct{})}
		server := &http.Server{Handler: g.Handler()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{}, 2)
		go func() { control.Run(ctx); ended <- struct{}{} }()
		go func() { _ = server.Serve(p); ended <- struct{}{} }()
		defer func() {
			cancel()
			_ = server.Close()
			<-ended
			<-ended
		}()
		synctest.Wait()
		test(c, g, p)
	})
}

const postHead = "POST /cards HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"

// slowly sends a part of a body and returns the answer and when it came.
func slowly(conn net.Conn) (*http.Response, time.Duration, error) {
	start := time.Now()
	if _, err := io.WriteString(conn, postHead+strings.Repeat("x", 900)); err != nil {
		return nil, 0, errors.Wrap(err, "send")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return resp, time.Since(start), err
}

// TestSlowBody sends a part of a body and then nothing.
func TestSlowBody(t *testing.T) {
	inVirtualTime(t, &endless{}, func(c *qt.C, _ *gateway.Gateway, p *pipes) {
		conn := p.dial()
		defer func() { _ = conn.Close() }()
		resp, after, err := slowly(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
		c.Assert(resp.Header.Get("X-Masticscale-Execution"), qt.Equals, "not_run")
		c.Assert(after, qt.Equals, time.Minute)
	})
}

// TestSlowBodyOfRefused refuses a request whose body never comes. The answer does
// not wait for the body.
func TestSlowBodyOfRefused(t *testing.T) {
	inVirtualTime(t, &endless{}, func(c *qt.C, _ *gateway.Gateway, p *pipes) {
		conn := p.dial()
		defer func() { _ = conn.Close() }()
		start := time.Now()
		_, err := io.WriteString(conn, strings.Replace(postHead, "/cards", "/v1/completions", 1))
		c.Assert(err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(time.Hour))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// TestSlowBodiesAreBounded sends parts of more bodies than the host may hold.
// The rest is refused at once, and afterwards there is room again.
func TestSlowBodiesAreBounded(t *testing.T) {
	const callers, held = 30, 11
	inVirtualTime(t, &endless{}, func(c *qt.C, g *gateway.Gateway, p *pipes) {
		g.SetBodiesBound(10_000)
		for range 2 {
			states := make(chan string, callers)
			for range callers {
				go func() {
					conn := p.dial()
					defer func() { _ = conn.Close() }()
					resp, after, err := slowly(conn)
					if err != nil {
						states <- err.Error()
						return
					}
					states <- fmt.Sprint(resp.StatusCode, after, resp.Header.Get("X-Masticscale-Execution"), resp.Header.Get("Retry-After"))
				}()
			}
			counts := map[string]int{}
			for range callers {
				counts[<-states]++
			}
			c.Assert(counts, qt.DeepEquals, map[string]int{"503 0snot_run1": callers - held, "400 1m0snot_run": held})
		}
	})
}

// TestSlowReader asks for answers and takes nothing of them.
func TestSlowReader(t *testing.T) {
	for _, kind := range []string{"text/plain", "text/event-stream"} {
		e := &endless{kind: kind}
		inVirtualTime(t, e, func(c *qt.C, _ *gateway.Gateway, p *pipes) {
			conn := p.dial()
			defer func() { _ = conn.Close() }()
			start := time.Now()
			_, err := io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			c.Assert((<-e.closed).Sub(start), qt.Equals, 30*time.Second, qt.Commentf("%s", kind))
		})
	}
}

// TestKeptConnectionOutlivesItsBounds uses a connection again after the bounds
// of its first request have passed.
func TestKeptConnectionOutlivesItsBounds(t *testing.T) {
	inVirtualTime(t, &endless{}, func(c *qt.C, _ *gateway.Gateway, p *pipes) {
		conn := p.dial()
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(in, nil)
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
			time.Sleep(100 * time.Second)
		}
	})
}
