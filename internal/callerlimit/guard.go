// Package callerlimit bounds what callers that nobody controls make a host hold: the bytes
// of their requests, their connections, and the heads that they send. The decisions are in
// account.go, conns.go and head.go, which have no I/O and no clock.
package callerlimit

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// Reason is why a caller was refused. It is the event of the log line and the label of the
// metric.
type Reason string

// The reasons.
const (
	BodyExceedsMemory  Reason = "body_exceeds_memory"
	BodyStalled        Reason = "body_stalled"
	HeadExceedsMemory  Reason = "head_exceeds_memory"
	HeadTooLong        Reason = "head_too_long"
	HeadTooSlow        Reason = "head_too_slow"
	TooManyLines       Reason = "head_with_too_many_lines"
	EmptyLines         Reason = "empty_lines_before_head"
	JobsExceedMemory   Reason = "jobs_exceed_memory"
	TooManyConnections Reason = "too_many_connections"
)

const (
	sweepInterval = 250 * time.Millisecond

	// receiveBuffer bounds what the kernel holds unread for a connection, which is memory of
	// the machine too. 64 KB allow 3 MB/s over 20 ms.
	receiveBuffer = 64 << 10
)

// Guard keeps callers within bounds. It serves any number of listeners.
type Guard struct {
	account *Account
	limits  func() HeadLimits
	refused func(Reason)
	log     logrus.FieldLogger

	mu        sync.Mutex
	listeners []*listener
}

// NewGuard returns a guard with the account. The functions return the limits in force and
// count refusals.
func NewGuard(account *Account, limits func() HeadLimits, refused func(Reason), log logrus.FieldLogger) *Guard {
	return &Guard{account: account, limits: limits, refused: refused, log: log}
}

// keptParts is by how many times the account accepted jobs and requests together may exceed
// it. With an account of a quarter of the memory they take half, and the heap may take 0.7.
const keptParts = 2

// Bounded reports whether the account has a bound.
func (g *Guard) Bounded() bool { return g.account.bounded() }

// ReserveJob reserves bytes for a job that was read. It returns ErrNoRoom if they don't
// fit.
func (g *Guard) ReserveJob(body *Body, n int64) error {
	if !body.Reserve(n) {
		g.report(BodyExceedsMemory, logrus.Fields{"received_bytes": body.received, "parsed_bytes": n})
		return ErrNoRoom
	}
	return nil
}

// JobsFull reports whether the host has no memory for another job beside accepted ones of
// kept bytes, and whether that lasts: without any request but the job's own of own bytes.
func (g *Guard) JobsFull(kept, own int64) (full, lasting bool) {
	limit := keptParts * g.account.limit
	full = g.Bounded() && kept > 0 && kept+g.account.Used() > limit
	return full, full && kept+own > limit
}

// JobRefused logs and counts a job that was refused because of accepted ones.
func (g *Guard) JobRefused(id string, kept int64, retryAfter time.Duration) {
	g.report(JobsExceedMemory, logrus.Fields{"job": id, "kept_bytes": kept, "retry_after_ms": retryAfter.Milliseconds()})
}

// Used returns the bytes that are held for callers.
func (g *Guard) Used() int64 { return g.account.Used() }

// Unfinished returns the number of connections with an unfinished head or body.
func (g *Guard) Unfinished() int {
	total := 0
	for _, l := range g.all() {
		_, unfinished := l.table.counts()
		total += unfinished
	}
	return total
}

func (g *Guard) all() []*listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listeners
}

// Run aborts stalled bodies and slow heads until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.sweep(now)
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	for _, s := range g.account.AbortStalled(now) {
		g.report(BodyStalled, logrus.Fields{"declared_bytes": s.Declared, "received_bytes": s.Received, "silent_ms": s.Silent.Milliseconds()})
	}
	limit := g.limits().Time
	if limit <= 0 {
		return
	}
	for _, l := range g.all() {
		for _, e := range l.table.dropSlowHeads(now, limit+headTimeSlack) {
			l.close(e, HeadTooSlow)
		}
	}
}

// report logs and counts a refusal.
func (g *Guard) report(why Reason, fields logrus.Fields) {
	g.refused(why)
	g.log.WithFields(fields).WithFields(logrus.Fields{
		"event": string(why), "held_bytes": g.account.Used(), "limit_bytes": g.account.limit, "unfinished": g.Unfinished(),
	}).Info("caller refused")
}

// ErrNoRoom means that a body doesn't fit into the account.
var ErrNoRoom = errors.New("the host holds as many bytes for callers as its memory allows")

// ErrStalled means that a body was aborted because it made no progress while the account
// was short.
var ErrStalled = errors.New("the body made no progress while the host was short of memory")

const firstReadBytes = 4 << 10

// ReadBody reads a body of the declared length, -1 if it isn't known, with up to limit
// bytes. Each byte counts factor times, for the forms that the body takes later. The
// function abort must make the read from source fail. What is reserved must be returned
// with Close of the Body, also after an error.
func (g *Guard) ReadBody(source io.Reader, declared, limit, factor int64, abort func()) ([]byte, *Body, error) {
	body := g.account.Open(declared, time.Now(), abort)
	text, err := body.readAll(source, limit, factor)
	if aborted := body.Complete(); aborted {
		err = ErrStalled // also if the end has arrived since: the abort has ended the connection's reads
	}
	if err != nil {
		body.Close() // before the refusal is written, which may take long
		text = nil
	}
	if errors.Is(err, ErrNoRoom) {
		g.report(BodyExceedsMemory, logrus.Fields{"declared_bytes": declared, "received_bytes": body.received, "factor": factor})
	}
	return text, body, err
}

func (b *Body) readAll(source io.Reader, limit, factor int64) ([]byte, error) {
	if b.declared >= 0 {
		limit = b.declared
	}
	size := limit
	if b.declared < 0 || !b.account.bounded() {
		size = min(firstReadBytes, limit)
	}
	if !b.Reserve(size * factor) {
		return nil, ErrNoRoom
	}
	text := make([]byte, 0, size)
	for {
		if len(text) == cap(text) {
			grown, err := b.grow(text, limit, factor)
			if err != nil {
				return nil, err
			}
			text = grown
		}
		n, err := b.readInto(source, &text)
		b.Receive(n, time.Now())
		switch {
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return nil, err
		}
	}
}

// readInto appends what one read returns to the text. Into a full text it reads one byte
// more, which only a source that doesn't keep its length has.
func (b *Body) readInto(source io.Reader, text *[]byte) (int, error) {
	room := (*text)[len(*text):cap(*text)]
	if len(room) == 0 {
		room = make([]byte, 1)
		n, err := source.Read(room)
		if n > 0 {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	n, err := source.Read(room)
	*text = (*text)[:len(*text)+n]
	return n, err
}

// grow doubles the text's capacity up to the limit. Old and new one are held until the text
// is copied.
func (b *Body) grow(text []byte, limit, factor int64) ([]byte, error) {
	old := int64(cap(text))
	size := min(2*old, limit)
	if size == old {
		return text, nil
	}
	if !b.Reserve(size * factor) {
		return nil, ErrNoRoom
	}
	grown := append(make([]byte, 0, size), text...)
	b.Release(old * factor)
	return grown, nil
}
