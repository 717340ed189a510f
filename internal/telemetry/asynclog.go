package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	logRing       = 1024        // lines that wait for a slow reader; further ones are dropped
	limiterWindow = time.Second // in which the lines of an event are counted
)

// AsyncWriter hands lines to a writer without ever waiting for it.
type AsyncWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, logRing), out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks; a line that finds the ring full,
// or the writer closed, is dropped and counted.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case <-w.closed:
		w.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closed:
			w.flush()
			return
		}
	}
}

// flush writes the lines that wait already.
func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) pass(line []byte) {
	_, _ = w.out.Write(line) // there is nowhere to tell of a log that can't be written
}

// Close writes the waiting lines, for at most the time.
func (w *AsyncWriter) Close(atMost time.Duration) {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(atMost):
	}
}

// LimitEventRate bounds the lines of each event a second. The next line of the
// event after a second with too many tells how many were left out.
func LimitEventRate(log *logrus.Logger, perSecond int) {
	log.SetFormatter(&limiter{next: log.Formatter, perSecond: perSecond, events: map[string]*eventCount{}})
}

type eventCount struct {
	second  time.Time
	lines   int
	omitted int
}

// limiter is a formatter that returns nothing for lines beyond the limit.
type limiter struct {
	next      logrus.Formatter
	perSecond int
	mu        sync.Mutex
	events    map[string]*eventCount
}

// Format implements logrus.Formatter.
func (l *limiter) Format(e *logrus.Entry) ([]byte, error) {
	omitted, ok := l.admit(fmt.Sprint(e.Data["event"]), e.Time)
	if !ok {
		return nil, nil
	}
	if omitted > 0 {
		e.Data["omitted"] = omitted
	}
	return l.next.Format(e)
}

func (l *limiter) admit(event string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.events[event]
	if !known {
		c = &eventCount{second: now}
		l.events[event] = c
	}
	omitted := 0
	if now.Sub(c.second) >= limiterWindow {
		omitted = c.omitted
		*c = eventCount{second: now}
	}
	if c.lines >= l.perSecond {
		c.omitted++
		return 0, false
	}
	c.lines++
	return omitted, true
}
