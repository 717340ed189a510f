package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/emulator/engine"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
)

// scripted is an upstream that answers each request by a script of raw bytes.
type scripted struct {
	socket net.Listener
	wg     sync.WaitGroup
	heads  atomic.Int64 // requests whose first line came
}

// newScripted answers request n, counted from 0, with what answer returns, then
// closes the connection. Before that it reads as many bytes of the request as
// take says; a negative number means all.
func newScripted(c *qt.C, take int, answer func(n int, req *http.Request) string) *scripted {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	u := &scripted{socket: socket}
	u.wg.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			u.wg.Go(func() {
				defer func() { _ = conn.Close() }()
				u.serve(conn, take, answer)
			})
		}
	})
	c.Cleanup(u.close)
	return u
}

const healthLine = "GET /health "

func (u *scripted) serve(conn net.Conn, take int, answer func(int, *http.Request) string) {
	in := bufio.NewReader(conn)
	if line, _ := in.Peek(len(healthLine)); string(line) == healthLine {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if take >= 0 {
		if got, _ := in.Peek(take); len(got) > 0 {
			u.heads.Add(1)
		}
		return
	}
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	n := int(u.heads.Add(1)) - 1
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, answer(n, req))
}

func (u *scripted) close() {
	_ = u.socket.Close()
	u.wg.Wait()
}

func (u *scripted) url() string { return "http://" + u.socket.Addr().String() }

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

func fixed(text string) func(int, *http.Request) string {
	return func(int, *http.Request) string { return text }
}

// TestRefusalNotRun closes the upstream at each point, for routes that may and
// may not be repeated. A refusal marked "not run" comes with no execution.
func TestRefusalNotRun(t *testing.T) {
	points := []struct {
		name   string
		take   int
		answer string
		closed bool // refuses connections
		wants  string
	}{
		{"refused", 0, "", true, "not_run"},
		{"before reading", 0, "", false, "unknown"},
		{"after some headers", 40, "", false, "unknown"},
		{"after half the body", 400, "", false, "unknown"},
		{"after the request", -1, "", false, "unknown"},
		{"after answer headers", -1, head + "Content-Length: 10\r\n\r\n", false, "unknown"},
		{"in mid-answer", -1, head + "Content-Length: 10\r\n\r\n{\"a\"", false, "unknown"},
		{"in mid-chunk", -1, head + "Transfer-Encoding: chunked\r\n\r\n10\r\n{\"a\"", false, "unknown"},
	}
	for _, repeatable := range []bool{false, true} {
		for _, p := range points {
			t.Run(fmt.Sprintf("%s, repeatable %v", p.name, repeatable), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(c)
				u := newScripted(c, p.take, fixed(p.answer))
				if p.closed {
					u.close()
				}
				f.service("cards", service.Plain, u.url())
				f.parts.Routes["cards"] = route.Spec{Path: "/disputes", Service: "cards", Repeatable: repeatable}
				r := f.send("POST", f.host("h1")+"/disputes", strings.Repeat("x", 600))
				c.Assert(r.err, qt.IsNil)
				c.Assert(r.status, qt.Equals, http.StatusBadGateway)
				c.Assert(r.execution(), qt.Equals, p.wants)
				c.Assert(r.body, qt.Contains, `"execution":"`+p.wants+`"`)
				c.Assert(r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				if !repeatable {
					c.Assert(u.heads.Load() <= 1, qt.IsTrue)
				}
				if r.execution() == "not_run" {
					c.Assert(u.heads.Load(), qt.Equals, int64(0))
				}
			})
		}
	}
}

// TestRefusalRemembersEarlierAttempt lets the first attempt be sent and the
// second be refused by its upstream. The request may have run.
func TestRefusalRemembersEarlierAttempt(t *testing.T) {
	for range 10 { // whichever upstream is tried first
		c := qt.New(t)
		f := newFleet(c)
		down := newScripted(c, 0, nil)
		down.close()
		ran := newScripted(c, -1, fixed(""))
		f.service("m", service.Engine, ran.url(), down.url())
		r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", false))
		if ran.heads.Load() > 0 {
			c.Assert(r.execution(), qt.Equals, "unknown")
		}
	}
}

func chat(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestTruncationIsVisible breaks answers off at each point. The caller sees an
// error in the answer's own form, never a short answer that looks whole.
func TestTruncationIsVisible(t *testing.T) {
	event := "data: {\"choices\":[]}\n\n"
	cases := []struct {
		name   string
		answer string
		stream bool
	}{
		{"stream cut after an event", streamHead + chunk(event), true},
		{"stream cut in an event", streamHead + chunk(event) + chunk("data: {\"cho"), true},
		{"stream closed without its terminal event", streamHead + chunk(event) + "0\r\n\r\n", true},
		{"terminal text within an event", streamHead + chunk("data: {\"x\":\"data: [DONE]\"}\n\n") + "0\r\n\r\n", true},
		{"stream without a byte", streamHead + "0\r\n\r\n", false},
		{"JSON cut", head + "Content-Length: 100\r\n\r\n{\"id\":", false},
		{"JSON cut without a length", "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n{\"id\":", false},
		{"empty JSON", head + "Content-Length: 0\r\n\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			f.service("m", service.Engine, newScripted(c, -1, fixed(tc.answer)).url())
			r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", tc.stream))
			c.Assert(r.body, qt.Contains, `"execution":"unknown"`)
			if tc.stream {
				c.Assert(r.body, qt.Contains, "\n\nevent: error\ndata: {")
				return
			}
			c.Assert(r.status, qt.Equals, http.StatusBadGateway)
		})
	}
}

// TestLargeAnswerIsCutVisibly passes a large plain answer on and cuts the
// caller's connection where the upstream's broke off.
func TestLargeAnswerIsCutVisibly(t *testing.T) {
	const size = 10 << 20
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c)
			sent := size
			if !whole {
				sent -= 5000
			}
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("y", sent))
			if whole {
				text += "0\r\n\r\n"
			}
			f.service("cards", service.Plain, newScripted(c, -1, fixed(text)).url())
			f.parts.Routes["cards"] = route.Spec{Path: "/export", Service: "cards"}
			r := f.send("GET", f.host("h1")+"/export", "")
			c.Assert(r.err == nil, qt.Equals, whole)
			c.Assert(len(r.body) == size, qt.Equals, whole)
		})
	}
}

// TestSlowCallerGetsTheWholeAnswer lets a caller stop reading for three times as
// long as an upstream may be silent.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	c := qt.New(t)
	const (
		size       = 32 << 20                // more than the buffers of two sockets take
		readBuffer = 256 << 10               // of the caller's socket
		pause      = 1500 * time.Millisecond // the harness allows a silence of 0.5 s
	)
	f := newFleet(c)
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("y", size)) + "0\r\n\r\n"
	f.service("cards", service.Plain, newScripted(c, -1, fixed(text)).url())
	f.parts.Routes["cards"] = route.Spec{Path: "/export", Service: "cards"}
	target := f.host("h1") + "/export"
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(readBuffer)
	}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, target, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+f.secret)
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.CopyN(io.Discard, resp.Body, size/2)
	c.Assert(err, qt.IsNil)
	time.Sleep(pause)
	_, err = io.CopyN(io.Discard, resp.Body, size/2)
	c.Assert(err, qt.IsNil)
}

// TestUndeliveredStreamRunsElsewhere lets an upstream die after its headers.
// Nothing went out, so the request runs again and the caller gets one whole
// answer.
func TestUndeliveredStreamRunsElsewhere(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	u := newScripted(c, -1, func(n int, _ *http.Request) string {
		if n == 0 {
			return streamHead
		}
		return streamHead + chunk("data: {}\n\ndata: [DONE]\n\n") + "0\r\n\r\n"
	})
	f.service("m", service.Engine, u.url(), u.url()+"/")
	r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", true))
	c.Assert(r.body, qt.Equals, "data: {}\n\ndata: [DONE]\n\n")
}

// TestSilentAnswerEnds lets the engine begin an answer and then say nothing.
func TestSilentAnswerEnds(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := socket.Accept()
		_ = socket.Close()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(conn, streamHead+chunk("data: {}\n\n"))
		_, _ = io.Copy(io.Discard, in) // until the host closes the connection
	}()
	c.Cleanup(func() { _ = socket.Close(); <-done })
	f.limits.RequestTimeoutSeconds = 600
	f.service("m", service.Engine, "http://"+socket.Addr().String())
	r := f.send("POST", f.host("h1")+"/v1/chat/completions", chat("m", "hello", true))
	c.Assert(r.body, qt.Contains, "event: error")
	<-done
}

// TestBodylessAnswers passes HEAD, 204 and 304 on.
func TestBodylessAnswers(t *testing.T) {
	for _, tc := range []struct {
		method, answer string
		status         int
		length         string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n", 200, "77"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nEtag: \"7\"\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 302 Found\r\nLocation: http://elsewhere/\r\nContent-Length: 0\r\n\r\n", 302, "0"},
	} {
		c := qt.New(t)
		f := newFleet(c)
		f.service("cards", service.Plain, newScripted(c, -1, fixed(tc.answer)).url())
		f.parts.Routes["cards"] = route.Spec{Path: "/stock", Service: "cards"}
		r := f.send(tc.method, f.host("h1")+"/stock", "")
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.status, qt.Equals, tc.status)
		c.Assert(r.header.Get("Content-Length"), qt.Equals, tc.length)
	}
}

// TestOwnAnswers sends many requests at once, some cut in mid-answer, and
// compares every answer with its own request's.
func TestOwnAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	stand := engine.New(engine.Options{Name: "e1", Slots: 32})
	server := newHTTP(c, stand.Handler())
	f.service("m", service.Engine, server)
	url := f.host("h1")
	faults := stand.Faults.Get()
	faults.CutMidAnswer = 20
	stand.Faults.Put(faults)
	var wg sync.WaitGroup
	whole := atomic.Int64{}
	for i := range 100 {
		wg.Go(func() {
			prompt := fmt.Sprintf("question %d", i)
			r := f.send("POST", url+"/v1/chat/completions", chat("m", prompt, i%2 == 0))
			words := engine.Answer(prompt, 4)
			isWhole := strings.Contains(r.body, "[DONE]") || i%2 == 1 && r.status == http.StatusOK
			if isWhole {
				whole.Add(1)
			}
			if isWhole && (!strings.Contains(r.body, words[0]) || !strings.Contains(r.body, words[3])) {
				c.Errorf("request %d got %q", i, r.body)
			}
			if !isWhole && !strings.Contains(r.body, `"execution":"unknown"`) && !strings.Contains(r.body, `"execution":"not_run"`) {
				c.Errorf("request %d ended without a visible error: %d %q", i, r.status, r.body)
			}
		})
	}
	wg.Wait()
	c.Assert(whole.Load() > 0, qt.IsTrue)
}
