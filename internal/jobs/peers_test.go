package jobs_test

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/mesh"
)

// reaches reports whether the hosts reach each other. The caller holds mu.
func (h *host) reaches(other *host) bool {
	return h != other && !h.partitioned && !other.partitioned && !other.killed && !h.killed && h.side == other.side
}

func (h *host) reachable() []*host {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	var found []*host
	for _, other := range h.cluster.hosts {
		if h.reaches(other) {
			found = append(found, other)
		}
	}
	return found
}

// listeners returns the hosts that get this one's state.
func (h *host) listeners() []*host {
	return slices.DeleteFunc(h.reachable(), func(other *host) bool {
		h.cluster.mu.Lock()
		defer h.cluster.mu.Unlock()
		return other.deaf
	})
}

var errUnreachable = errors.New("host is unreachable")

func (h *host) peerAt(address string) (*host, error) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	other, known := h.cluster.hosts[address]
	if !known || !h.reaches(other) {
		return nil, errUnreachable
	}
	return other, nil
}

// ReadResults implements jobs.Peers.
func (h *host) ReadResults(ctx context.Context, address, job, team string, after int, wait time.Duration) (int, []mesh.Result, error) {
	other, err := h.peerAt(address)
	if err != nil {
		return 0, nil, err
	}
	return other.runner.ReadLocal(ctx, job, team, after, wait)
}

// ReadItem implements jobs.Peers.
func (h *host) ReadItem(_ context.Context, address, job, team, item string) ([]byte, error) {
	other, err := h.peerAt(address)
	if err != nil {
		return nil, err
	}
	return other.runner.ItemLocal(job, team, item)
}

// EndJob implements jobs.Peers.
func (h *host) EndJob(ctx context.Context, address, job, team string) error {
	other, err := h.peerAt(address)
	if err != nil {
		return err
	}
	err = other.runner.CancelLocal(ctx, job, team)
	if other.hung {
		return errUnreachable
	}
	return err
}

// Adopt implements jobs.Peers.
func (h *host) Adopt(ctx context.Context, address string, ids []string) error {
	select {
	case <-ctx.Done():
	case <-time.After(h.adoptTime):
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	other, err := h.peerAt(address)
	if err != nil {
		return err
	}
	other.runner.AdoptLocal(ids)
	return nil
}
