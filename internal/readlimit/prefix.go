package readlimit

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	firstChunkBytes = 4 << 10 // not charged to a budget, so that short bodies are always buffered
	maxChunkBytes   = 64 << 10
)

// Budget is an amount of memory that concurrent readers share.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Prefix is the beginning of a body.
type Prefix struct {
	Complete bool // the body has ended
	budget   *Budget
	charged  int64
	chunks   [][]byte
}

// ReadPrefix reads the source to its end, to the limit, or until the budget is used up.
// An error is one of the source, other than its end. The caller must release the prefix.
func (b *Budget) ReadPrefix(source io.Reader, limit int64) (*Prefix, error) {
	p := &Prefix{budget: b}
	for size := int64(firstChunkBytes); limit > 0; size = min(2*size, maxChunkBytes) {
		if len(p.chunks) > 0 {
			if !b.reserve(size) {
				return p, nil
			}
			p.charged += size
		}
		chunk, err := readChunk(source, min(size, limit))
		p.chunks = append(p.chunks, chunk)
		limit -= int64(len(chunk))
		if errors.Is(err, io.EOF) {
			p.Complete = true
			return p, nil
		}
		if err != nil {
			p.Release()
			return nil, err
		}
	}
	return p, nil
}

// readChunk reads size bytes, or fewer with an error.
func readChunk(source io.Reader, size int64) ([]byte, error) {
	chunk := make([]byte, size)
	for n := 0; n < len(chunk); {
		m, err := source.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// Reader returns a reader of the prefix, which needs no copy of it. The prefix must not be
// released before the last read.
func (p *Prefix) Reader() io.Reader {
	chunks := make([]io.Reader, len(p.chunks))
	for i, chunk := range p.chunks {
		chunks[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(chunks...)
}

// WriteTo implements io.WriterTo. It releases the prefix.
func (p *Prefix) WriteTo(w io.Writer) (int64, error) {
	defer p.Release()
	var written int64
	for _, chunk := range p.chunks {
		n, err := w.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release returns the prefix's memory to the budget.
func (p *Prefix) Release() {
	p.budget.used.Add(-p.charged)
	p.charged, p.chunks = 0, nil
}
