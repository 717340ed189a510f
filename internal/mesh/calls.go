package mesh

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
)

// ErrUnknownJob is returned when the called host doesn't run the job.
var ErrUnknownJob = errors.New("the host does not run the job")

// Result is the result of one batch item.
type Result struct {
	ID     string
	Failed bool // no further attempts are made
	Output []byte
}

// Jobs gives peers access to the jobs that this host runs.
type Jobs interface {
	// ReadLocal returns the job's number of items and its results from position
	// after on. If there is none yet, ReadLocal waits for one up to the given time.
	// It returns ErrUnknownJob when this host doesn't run the job.
	ReadLocal(ctx context.Context, job, team string, after int, wait time.Duration) (int, []Result, error)
	// ItemLocal returns the body of an item of a job that this host runs, or
	// ErrUnknownJob.
	ItemLocal(job, team, item string) ([]byte, error)
	// CancelLocal cancels a job that this host runs, or returns ErrUnknownJob.
	CancelLocal(ctx context.Context, job, team string) error
	// AdoptLocal takes over jobs of a host that shuts down. Without jobs it asks this host to
	// verify that it owns those that it runs.
	AdoptLocal(jobs []string)
}

// Versions are the versions of the data that a host has: the configuration's own, and
// the store's latest one that is reflected in each list.
type Versions struct {
	Config      int64
	Upstreams   int64
	Hosts       int64
	Evacuations int64 // of the latest known change; 0 if the evacuated data centres aren't known
}

// Snapshot holds the configuration, the upstreams and the hosts known to a host.
// Configuration and upstreams are encoded as in the store.
type Snapshot struct {
	Versions        Versions
	Config          []byte
	Upstreams       map[string][]byte        // by id
	PendingRemovals map[string]time.Duration // upstreams that the store has removed, and the time for which they stay listed
	// UnknownExpiries is the time for which an upstream may be missing though it is live: its
	// entry expired in an outage before the host started, and may still be renewed.
	UnknownExpiries time.Duration
	Hosts           map[string]HostAddress // by name
	Evacuated       []string               // data centres
}

// HostAddress is the address and the data centre of a host.
type HostAddress struct {
	Address    string
	DataCentre string
}

// SnapshotProvider provides this host's snapshot for peers.
type SnapshotProvider interface {
	Snapshot() Snapshot
}

// Knowledge implements peerv1connect.FleetServiceHandler.
func (s *server) Knowledge(_ context.Context, r *connect.Request[peerv1.KnowledgeRequest]) (*connect.Response[peerv1.KnowledgeResponse], error) {
	d := s.mesh.snapshots.Snapshot()
	response := &peerv1.KnowledgeResponse{}
	if d.Versions.Config > r.Msg.ConfigVersion {
		response.ConfigVersion, response.Config = d.Versions.Config, d.Config
	}
	if d.Versions.Upstreams > r.Msg.UpstreamsVersion {
		response.UpstreamsVersion, response.Upstreams = d.Versions.Upstreams, d.Upstreams
		response.PendingRemovals = encodePendingRemovals(d.PendingRemovals)
		response.UnknownExpiriesMs = d.UnknownExpiries.Milliseconds()
	}
	if d.Versions.Hosts > r.Msg.HostsVersion {
		response.HostsVersion, response.Hosts = d.Versions.Hosts, encodeHosts(d.Hosts)
	}
	if d.Versions.Evacuations > r.Msg.EvacuationsVersion {
		response.EvacuationsVersion, response.Evacuated = d.Versions.Evacuations, d.Evacuated
	}
	return connect.NewResponse(response), nil
}

func encodePendingRemovals(removals map[string]time.Duration) map[string]int64 {
	encoded := make(map[string]int64, len(removals))
	for id, remaining := range removals {
		encoded[id] = remaining.Milliseconds()
	}
	return encoded
}

func decodePendingRemovals(encoded map[string]int64) map[string]time.Duration {
	removals := make(map[string]time.Duration, len(encoded))
	for id, ms := range encoded {
		removals[id] = time.Duration(ms) * time.Millisecond
	}
	return removals
}

func encodeHosts(hosts map[string]HostAddress) []*peerv1.HostAddress {
	var all []*peerv1.HostAddress
	for name, h := range hosts {
		all = append(all, &peerv1.HostAddress{Name: name, Address: h.Address, DataCentre: h.DataCentre})
	}
	return all
}

func decodeHosts(all []*peerv1.HostAddress) map[string]HostAddress {
	hosts := map[string]HostAddress{}
	for _, h := range all {
		hosts[h.Name] = HostAddress{Address: h.Address, DataCentre: h.DataCentre}
	}
	return hosts
}

// FetchSnapshot fetches from the peer at the address what is newer than the versions.
func (m *Mesh) FetchSnapshot(ctx context.Context, address string, known Versions) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	r, err := m.client(address).Knowledge(ctx, connect.NewRequest(&peerv1.KnowledgeRequest{
		ConfigVersion: known.Config, UpstreamsVersion: known.Upstreams, HostsVersion: known.Hosts, EvacuationsVersion: known.Evacuations,
	}))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "fetch snapshot from peer")
	}
	return Snapshot{
		Versions:  Versions{Config: r.Msg.ConfigVersion, Upstreams: r.Msg.UpstreamsVersion, Hosts: r.Msg.HostsVersion, Evacuations: r.Msg.EvacuationsVersion},
		Config:    r.Msg.Config,
		Upstreams: r.Msg.Upstreams, PendingRemovals: decodePendingRemovals(r.Msg.PendingRemovals),
		UnknownExpiries: time.Duration(r.Msg.UnknownExpiriesMs) * time.Millisecond,
		Hosts:           decodeHosts(r.Msg.Hosts),
		Evacuated:       r.Msg.Evacuated,
	}, nil
}

// ReadResults implements peerv1connect.FleetServiceHandler.
func (s *server) ReadResults(ctx context.Context, r *connect.Request[peerv1.ReadResultsRequest]) (*connect.Response[peerv1.ReadResultsResponse], error) {
	wait := time.Duration(r.Msg.WaitMs) * time.Millisecond
	total, results, err := s.mesh.jobs.ReadLocal(ctx, r.Msg.Job, r.Msg.Team, int(r.Msg.After), wait)
	if errors.Is(err, ErrUnknownJob) {
		return connect.NewResponse(&peerv1.ReadResultsResponse{}), nil
	}
	if err != nil {
		return nil, err
	}
	response := &peerv1.ReadResultsResponse{Known: true, Total: int32(total)}
	for _, x := range results {
		response.Results = append(response.Results, &peerv1.ItemResult{Id: x.ID, Failed: x.Failed, Output: x.Output})
	}
	return connect.NewResponse(response), nil
}

// ReadResults reads a job's results from the host that runs the job.
func (m *Mesh) ReadResults(ctx context.Context, address, job, team string, after int, wait time.Duration) (int, []Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	r, err := m.client(address).ReadResults(ctx, connect.NewRequest(&peerv1.ReadResultsRequest{
		Job: job, Team: team, After: int32(after), WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read results from peer")
	}
	if !r.Msg.Known {
		return 0, nil, ErrUnknownJob
	}
	results := make([]Result, 0, len(r.Msg.Results))
	for _, x := range r.Msg.Results {
		results = append(results, Result{ID: x.Id, Failed: x.Failed, Output: x.Output})
	}
	return int(r.Msg.Total), results, nil
}

// ReadItem implements peerv1connect.FleetServiceHandler.
func (s *server) ReadItem(_ context.Context, r *connect.Request[peerv1.ReadItemRequest]) (*connect.Response[peerv1.ReadItemResponse], error) {
	body, err := s.mesh.jobs.ItemLocal(r.Msg.Job, r.Msg.Team, r.Msg.Item)
	if errors.Is(err, ErrUnknownJob) {
		return connect.NewResponse(&peerv1.ReadItemResponse{}), nil
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.ReadItemResponse{Known: true, Body: body}), nil
}

// ReadItem reads the body of an item from the host that runs its job.
func (m *Mesh) ReadItem(ctx context.Context, address, job, team, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := m.client(address).ReadItem(ctx, connect.NewRequest(&peerv1.ReadItemRequest{Job: job, Team: team, Item: item}))
	if err != nil {
		return nil, errors.Wrap(err, "read item from peer")
	}
	if !r.Msg.Known {
		return nil, ErrUnknownJob
	}
	return r.Msg.Body, nil
}

// EndJob implements peerv1connect.FleetServiceHandler.
func (s *server) EndJob(ctx context.Context, r *connect.Request[peerv1.EndJobRequest]) (*connect.Response[peerv1.EndJobResponse], error) {
	err := s.mesh.jobs.CancelLocal(ctx, r.Msg.Job, r.Msg.Team)
	if errors.Is(err, ErrUnknownJob) {
		return connect.NewResponse(&peerv1.EndJobResponse{}), nil
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.EndJobResponse{Known: true}), nil
}

// EndJob cancels a job at the host that runs it.
func (m *Mesh) EndJob(ctx context.Context, address, job, team string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := m.client(address).EndJob(ctx, connect.NewRequest(&peerv1.EndJobRequest{Job: job, Team: team}))
	if err != nil {
		return errors.Wrap(err, "cancel job at peer")
	}
	if !r.Msg.Known {
		return ErrUnknownJob
	}
	return nil
}

// Adopt implements peerv1connect.FleetServiceHandler.
func (s *server) Adopt(_ context.Context, r *connect.Request[peerv1.AdoptRequest]) (*connect.Response[peerv1.AdoptResponse], error) {
	s.mesh.jobs.AdoptLocal(r.Msg.Jobs)
	return connect.NewResponse(&peerv1.AdoptResponse{}), nil
}

// Adopt asks the peer at the address to take over jobs, as AdoptLocal does.
func (m *Mesh) Adopt(ctx context.Context, address string, jobs []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := m.client(address).Adopt(ctx, connect.NewRequest(&peerv1.AdoptRequest{Jobs: jobs}))
	if err != nil {
		return errors.Wrap(err, "hand over jobs to peer")
	}
	return nil
}
