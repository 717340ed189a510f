package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/upstream"
)

// slowCrashes is an engine that dies some time after a request with the poison text has
// begun, whether its caller is still there or not.
type slowCrashes struct {
	*fleet
	delay time.Duration
}

// Start implements upstream.Engine.
func (s slowCrashes) Start(ctx context.Context, address string, call upstream.Call) (*upstream.Response, error) {
	if string(call.Body) != poison || s.CheckHealth(ctx, address) != nil {
		return s.fleet.Start(ctx, address, call)
	}
	died := make(chan error, 1)
	go func() {
		time.Sleep(s.delay)
		_, err := s.fleet.Start(context.Background(), address, call)
		died <- err
	}()
	select {
	case err := <-died:
		return nil, err
	case <-ctx.Done():
		return nil, &upstream.SendError{Sent: true, Cause: ctx.Err()}
	}
}

// TestSuspicionIsLostWhenTheCallerLeaves guards against a request that crashes one engine
// after the other because its callers leave before the crash is seen. Callers that leave
// sound engines must not make their requests suspects.
func TestSuspicionIsLostWhenTheCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{8 * time.Millisecond, 30 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet()
				f.gate = make(chan struct{})
				var names []string
				for n := range 20 {
					names = append(names, fmt.Sprint("e", n))
				}
				hosts := newHosts(f, 3, names...)
				for _, h := range hosts {
					h.dispatcher.engine = slowCrashes{f, 10 * time.Millisecond}
				}
				for n := range 15 {
					for _, body := range []string{poison, "innocent"} {
						ctx, cancel := context.WithTimeout(context.Background(), after)
						_, err := hosts[n%len(hosts)].run(ctx, Online, body)
						c.Assert(err, qt.IsNotNil)
						cancel()
					}
					time.Sleep(time.Second)
				}
				c.Assert(f.deadCount() <= 2, qt.IsTrue, qt.Commentf("%d engines lost", f.deadCount()))
				close(f.gate)
				_, err := hosts[0].run(context.Background(), Online, "innocent")
				c.Assert(err, qt.IsNil)
				innocent := Request{Team: "t", Service: testService, Call: upstream.Call{Body: []byte("innocent")}}
				c.Assert(hosts[0].suspects.State(FingerprintOf(FingerprintKey("k"), innocent)), qt.Equals, Clear)
			})
		})
	}
}

// guiltyMessage is the body of requests that begin with the same message; the last one differs.
const guiltyMessage = `{"messages":[{"role":"system","content":"` + poison + `"},{"role":"user","content":"%d"}]}`

// messageCrashes is an engine that dies when it runs a request that begins with the first
// message of guiltyMessage.
type messageCrashes struct{ *fleet }

// Start implements upstream.Engine.
func (m messageCrashes) Start(ctx context.Context, address string, call upstream.Call) (*upstream.Response, error) {
	shared, _, _ := strings.Cut(guiltyMessage, "%d")
	if strings.HasPrefix(string(call.Body), shared) {
		call.Body = []byte(poison)
	}
	return m.fleet.Start(ctx, address, call)
}

// TestMessageThatRequestsShareCrashesEngines guards against requests of which no two are alike
// and that crash one engine after the other by a message that all begin with.
func TestMessageThatRequestsShareCrashesEngines(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet()
		var names []string
		for n := range 40 {
			names = append(names, fmt.Sprint("e", n))
		}
		hosts := newHosts(f, 3, names...)
		for _, h := range hosts {
			h.dispatcher.engine = messageCrashes{f}
		}
		for n := range 15 {
			_, err := hosts[n%len(hosts)].run(context.Background(), Online, fmt.Sprintf(guiltyMessage, n))
			c.Assert(err, qt.IsNotNil)
			time.Sleep(time.Second)
		}
		const tolerated = 5 + 3 // crashes until the message is known, and later runs
		c.Assert(f.deadCount() <= tolerated, qt.IsTrue, qt.Commentf("%d engines lost", f.deadCount()))
	})
}
