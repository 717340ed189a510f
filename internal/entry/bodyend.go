package entry

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/bodyend"
	"github.com/masticscale/masticscale/internal/readlimit"
)

// maxItemEndWait limits the wait of an item for the check of its upstream: no caller waits for
// it, and the check itself ends by then.
const maxItemEndWait = crashSettleTime + probeTimeout + maxBreakWait

// checkEnd has the end of a body that isn't delimited fail if the upstream has ended as well: a
// crashed process leaves a closed connection. If that isn't known within the time that a caller
// may wait, the end counts.
func (s *Slot) checkEnd(ctx context.Context, resp *Response, id string) {
	s.checkEndBy(resp, func() bool {
		s.endCause = s.findBreakCause(ctx, brokenRun{item: id, ended: true}, maxBreakWait)
		return s.endCause == UpstreamEnded
	})
}

// CheckItemEnd is checkEnd for an item of a job. The end of a leaving upstream counts as well: it
// may have been stopped in the middle of the answer. For an item that is one more run, while a
// caller would lose the answers of upstreams that exit right after their last one.
func (s *Slot) CheckItemEnd(ctx context.Context, resp *Response, item string) {
	s.checkEndBy(resp, func() bool {
		cause := s.findBreakCause(ctx, brokenRun{item: item, ended: true}, maxItemEndWait)
		return cause == UpstreamEnded || cause == UpstreamLeaving && s.refusesConnection(ctx)
	})
}

func (s *Slot) checkEndBy(resp *Response, hasEnded func() bool) {
	if resp.Delimited {
		return
	}
	resp.Body = &undelimitedBody{ReadCloser: resp.Body, check: func() error {
		return bodyend.End{UpstreamEnded: hasEnded()}.Check()
	}}
}

// refusesConnection reports whether the upstream accepts no connection.
func (s *Slot) refusesConnection(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(crashSettleTime):
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.core.connector.Connect(bounded, s.Upstream) != nil && ctx.Err() == nil
}

// undelimitedBody is a body whose end is checked when it is read first.
type undelimitedBody struct {
	io.ReadCloser
	check func() error
	end   error // nil before the end
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if incomplete := b.check(); incomplete != nil {
			err = incomplete
		}
		b.end = err
	}
	return n, err
}

// checkDocument returns an error if the body isn't delimited, is read to its end, and ends inside
// a document.
func checkDocument(resp *Response, body *readlimit.Prefix) error {
	if resp.Delimited || !body.Complete {
		return nil
	}
	return bodyend.End{CutOffDocument: bodyend.IsCutOffDocument(resp.Header, body.Reader())}.Check()
}
