// Package readlimit bounds what is read from upstreams, peers and the platform.
package readlimit

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// SizeError means that the other side sent more than the limit.
type SizeError struct {
	What  string // what exceeded the limit
	Limit int64  // in bytes
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Limit) }

// CountError means that the other side sent more items than the limit.
type CountError struct {
	What  string // the items
	Limit int64
}

// Error implements error.
func (e *CountError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// TimeError means that the other side began to send something and did not complete it
// in time.
type TimeError struct {
	What  string
	Limit time.Duration // from the first byte
}

// Error implements error.
func (e *TimeError) Error() string {
	return fmt.Sprintf("%s is not complete %v after its first byte", e.What, e.Limit)
}

// IsExceeded reports whether the error is one of a limit of this package.
func IsExceeded(err error) bool {
	var size *SizeError
	var count *CountError
	var late *TimeError
	return errors.As(err, &size) || errors.As(err, &count) || errors.As(err, &late)
}

// Reader reads at most a number of bytes from its source. Unlike io.LimitedReader it
// returns a *SizeError, not io.EOF, if the source has more.
type Reader struct {
	source io.Reader
	what   string
	limit  int64
	left   int64
	err    error // of the last read
}

// NewReader returns a Reader without a limit.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, left: math.MaxInt64} }

// NewLimitedReader returns a Reader with a limit.
func NewLimitedReader(source io.Reader, what string, limit int64) *Reader {
	r := NewReader(source)
	r.SetLimit(what, limit)
	return r
}

// SetLimit limits what is read from now on.
func (r *Reader) SetLimit(what string, limit int64) {
	r.what, r.limit, r.left, r.err = what, limit, limit, nil
}

// ClearLimit removes the limit.
func (r *Reader) ClearLimit() { r.left = math.MaxInt64 }

// Err returns the error of the last read. Parsers may hide it behind an error of their
// own about the incomplete text.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.err = err
	return n, err
}

func (r *Reader) read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		var probe [1]byte
		n, err := r.source.Read(probe[:])
		if n == 0 {
			return 0, err
		}
		r.left = -1
	}
	if r.left < 0 {
		return 0, &SizeError{What: r.what, Limit: r.limit}
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
