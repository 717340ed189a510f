package batch

import "sync"

const (
	maxConcurrentChunks = 8
	maxWaitingChunks    = 24 // bounds the memory for their items and results
)

// chunkPlaces limits the chunks that this host runs at the same time. Chunks whose
// remaining items all wait for another run don't count with the others: they may wait
// until their jobs' deadlines.
type chunkPlaces struct{ running, waiting chan struct{} }

func newChunkPlaces() *chunkPlaces {
	return &chunkPlaces{running: make(chan struct{}, maxConcurrentChunks), waiting: make(chan struct{}, maxWaitingChunks)}
}

// tryAcquire returns a place for a chunk, or nil if none is free.
func (p *chunkPlaces) tryAcquire() *chunkPlace {
	select {
	case p.running <- struct{}{}:
		return &chunkPlace{places: p, held: p.running}
	default:
		return nil
	}
}

// chunkPlace is the place of one chunk.
type chunkPlace struct {
	places *chunkPlaces

	mu   sync.Mutex
	held chan struct{} // the kind of place that the chunk holds
}

// yield exchanges the place for one of the chunks that wait. It reports whether a place
// became free for another chunk.
func (p *chunkPlace) yield() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != p.places.running {
		return false
	}
	select {
	case p.places.waiting <- struct{}{}:
	default:
		return false
	}
	p.held = p.places.waiting
	<-p.places.running
	return true
}

func (p *chunkPlace) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	<-p.held
}
