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
	logBufferLines   = 1024        // lines; further ones are dropped while the output is slow
	eventLimitWindow = time.Second // window of the rate limit of an event
)

// AsyncWriter buffers lines and writes them to another writer in the background,
// so that a slow output never blocks the caller.
type AsyncWriter struct {
	lines     chan []byte
	out       io.Writer
	dropped   atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
	done      chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, logBufferLines), out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks: a line is dropped and counted if
// the buffer is full or the writer is closed.
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

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closed:
			w.flush()
			return
		}
	}
}

// flush writes the buffered lines.
func (w *AsyncWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) writeLine(line []byte) {
	_, _ = w.out.Write(line) // a failure to write the log cannot be logged
}

// Close writes the buffered lines and returns when they are written or the
// timeout has passed.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// LimitEventRate limits the lines logged per second for each event. The first
// line after a window in which lines were omitted has their number in its field
// "omitted".
func LimitEventRate(log *logrus.Logger, perSecond int) {
	log.SetFormatter(&eventLimiter{next: log.Formatter, perSecond: perSecond, events: map[string]*eventCount{}})
}

type eventCount struct {
	windowStart time.Time
	lines       int
	omitted     int
}

// eventLimiter is a formatter that returns no output for lines above the limit.
type eventLimiter struct {
	next      logrus.Formatter
	perSecond int
	mu        sync.Mutex
	events    map[string]*eventCount
}

// Format implements logrus.Formatter.
func (l *eventLimiter) Format(e *logrus.Entry) ([]byte, error) {
	omitted, ok := l.allow(fmt.Sprint(e.Data["event"]), e.Time)
	if !ok {
		return nil, nil
	}
	if omitted > 0 {
		e.Data["omitted"] = omitted
	}
	return l.next.Format(e)
}

func (l *eventLimiter) allow(event string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.events[event]
	if !known {
		c = &eventCount{windowStart: now}
		l.events[event] = c
	}
	omitted := 0
	if now.Sub(c.windowStart) >= eventLimitWindow {
		omitted = c.omitted
		*c = eventCount{windowStart: now}
	}
	if c.lines >= l.perSecond {
		c.omitted++
		return 0, false
	}
	c.lines++
	return omitted, true
}
