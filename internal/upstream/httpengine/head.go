package httpengine

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/masticscale/masticscale/internal/readlimit"
	"github.com/masticscale/masticscale/internal/upstream"
)

const maxInformational = 16 // 1xx responses before a response

// headTimer cancels a call whose response head is not complete in time. The time starts
// with the first byte, because an upstream queues requests before it answers.
type headTimer struct {
	cancel context.CancelCauseFunc

	mu            sync.Mutex
	timer         *time.Timer
	informational int
	err           error // the limit that was exceeded
}

// addTo adds the timer's hooks to the trace of a call.
func (t *headTimer) addTo(trace *httptrace.ClientTrace) {
	trace.GotFirstResponseByte = t.start
	trace.Got1xxResponse = t.countInformational
}

func (t *headTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(upstream.HeadTimeout, func() {
		t.fail(&readlimit.TimeError{What: "the response head", Limit: upstream.HeadTimeout})
	})
}

// countInformational stops the timer, because the time until the next head is the
// upstream's.
func (t *headTimer) countInformational(int, textproto.MIMEHeader) error {
	t.stop()
	t.mu.Lock()
	t.informational++
	exceeded := t.informational > maxInformational
	t.mu.Unlock()
	if !exceeded {
		return nil
	}
	return t.fail(&readlimit.CountError{What: "informational responses", Limit: maxInformational})
}

func (t *headTimer) fail(err error) error {
	t.mu.Lock()
	t.err = err
	t.mu.Unlock()
	t.cancel(err)
	return err
}

// stop ends the timer and returns the limit that was exceeded, if any.
func (t *headTimer) stop() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.err
}
