package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// blockedWriter blocks in Write until it is released, like a full pipe whose
// reader has stopped.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.released
	return len(line), nil
}

// TestWriteNeverBlocks logs far more lines than the buffer holds while the output
// is blocked. In virtual time, no time may pass.
func TestWriteNeverBlocks(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		blocked := blockedWriter{make(chan struct{})}
		w := telemetry.NewAsyncWriter(blocked)
		log := logrus.New()
		log.SetOutput(w)
		started := time.Now()
		const lines = 5000
		for range lines {
			log.WithField("event", "request_ended").Info("request ended")
		}
		c.Assert(time.Since(started), qt.Equals, time.Duration(0))
		c.Assert(w.Dropped() > lines/2, qt.IsTrue, qt.Commentf("%d of %d lines were dropped", w.Dropped(), lines))
		const timeout = 300 * time.Millisecond
		w.Close(timeout)
		c.Assert(time.Since(started), qt.Equals, timeout)
		close(blocked.released)
	})
}

// TestLineAfterCloseIsDropped covers a goroutine that still logs after the log
// was closed.
func TestLineAfterCloseIsDropped(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := telemetry.NewAsyncWriter(&out)
	_, _ = io.WriteString(w, "first\n")
	w.Close(time.Minute)
	_, err := io.WriteString(w, "late\n")
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, "first\n")
	c.Assert(w.Dropped(), qt.Equals, int64(1))
}

// TestLinesPerEventAreLimited logs a burst of one event and a single line of
// another.
func TestLinesPerEventAreLimited(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		telemetry.LimitEventRate(log, 50)
		for range 400 {
			log.WithField("event", "request_ended").Info("request ended")
		}
		log.WithField("event", "host_stopping").Info("host stops")
		time.Sleep(time.Second)
		log.WithField("event", "request_ended").Info("request ended")
		text := out.String()
		c.Assert(strings.Count(text, "event=request_ended"), qt.Equals, 51)
		c.Assert(strings.Count(text, "event=host_stopping"), qt.Equals, 1)
		c.Assert(strings.Count(text, "omitted=350"), qt.Equals, 1)
	})
}

// BenchmarkLine measures the processor time of a line with the fields of a request.
func BenchmarkLine(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	telemetry.LimitEventRate(log, 1<<30)
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"event": "request_ended", "id": "d4f834b9729bcb05", "route": "kiosk-reply", "team": "forecourt", "upstream": "i-ac15783188",
			"outcome": "answered", "status": 200, "attempts": 1, "age": 21 * time.Millisecond,
		}).Info("request ended")
	}
}
