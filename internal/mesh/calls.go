package mesh

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
)

// ErrUnknownJob means that the asked host doesn't run the job.
var ErrUnknownJob = errors.New("the host does not run the job")

// Result is the end of one batch item.
type Result struct {
	ID     string
	Failed bool // given up
	Output []byte
}

// Jobs are the jobs that this host runs.
type Jobs interface {
	// ReadLocal returns the job's number of items and its results from a
	// position on. It waits for one that is yet to come. It returns
	// ErrUnknownJob when this host doesn't run the job.
	ReadLocal(ctx context.Context, job, team string, after int, wait time.Duration) (int, []Result, error)
	// ItemLocal returns the body of an item of a job that this host runs, or
	// ErrUnknownJob.
	ItemLocal(job, team, item string) ([]byte, error)
	// CancelLocal ends a job that this host runs, or returns ErrUnknownJob.
	CancelLocal(ctx context.Context, job, team string) error
	// AdoptLocal takes over jobs of a host that stops.
	AdoptLocal(jobs []string)
}

// Snapshot is what a host knows, as it was written.
type Snapshot struct {
	ConfigVersion    int64
	Config           []byte
	UpstreamsVersion int64
	Upstreams        map[string][]byte      // by id
	Hosts            map[string]HostAddress // by name
}

// HostAddress tells where a host is.
type HostAddress struct {
	Address    string
	DataCentre string
}

// SnapshotProvider is what this host knows.
type SnapshotProvider interface {
	Snapshot() Snapshot
}

// Knowledge implements peerv1connect.FleetServiceHandler.
func (s *server) Knowledge(_ context.Context, r *connect.Request[peerv1.KnowledgeRequest]) (*connect.Response[peerv1.KnowledgeResponse], error) {
	d := s.mesh.share.Snapshot()
	answer := &peerv1.KnowledgeResponse{}
	if d.ConfigVersion > r.Msg.ConfigVersion {
		answer.ConfigVersion, answer.Config = d.ConfigVersion, d.Config
	}
	if d.UpstreamsVersion > r.Msg.UpstreamsVersion {
		answer.UpstreamsVersion, answer.Upstreams, answer.Hosts = d.UpstreamsVersion, d.Upstreams, encodeHosts(d.Hosts)
	}
	return connect.NewResponse(answer), nil
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

// FetchSnapshot asks the peer at the address what it knows beyond the versions.
func (m *Mesh) FetchSnapshot(ctx context.Context, address string, config, upstreams int64) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, knowledgeExpiry)
	defer cancel()
	r, err := m.client(address).Knowledge(ctx, connect.NewRequest(&peerv1.KnowledgeRequest{ConfigVersion: config, UpstreamsVersion: upstreams}))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "fetch a peer's knowledge")
	}
	return Snapshot{
		ConfigVersion: r.Msg.ConfigVersion, Config: r.Msg.Config,
		UpstreamsVersion: r.Msg.UpstreamsVersion, Upstreams: r.Msg.Upstreams, Hosts: decodeHosts(r.Msg.Hosts),
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
	answer := &peerv1.ReadResultsResponse{Known: true, Total: int32(total)}
	for _, x := range results {
		answer.Results = append(answer.Results, &peerv1.ItemResult{Id: x.ID, Failed: x.Failed, Output: x.Output})
	}
	return connect.NewResponse(answer), nil
}

// ReadResults reads a job at the host that runs it.
func (m *Mesh) ReadResults(ctx context.Context, address, job, team string, after int, wait time.Duration) (int, []Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	r, err := m.client(address).ReadResults(ctx, connect.NewRequest(&peerv1.ReadResultsRequest{
		Job: job, Team: team, After: int32(after), WaitMs: wait.Milliseconds(),
	}))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read results at a peer")
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

// ReadItem reads the body of an item at the host that runs its job.
func (m *Mesh) ReadItem(ctx context.Context, address, job, team, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := m.client(address).ReadItem(ctx, connect.NewRequest(&peerv1.ReadItemRequest{Job: job, Team: team, Item: item}))
	if err != nil {
		return nil, errors.Wrap(err, "read item at a peer")
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

// EndJob ends a job at the host that runs it.
func (m *Mesh) EndJob(ctx context.Context, address, job, team string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := m.client(address).EndJob(ctx, connect.NewRequest(&peerv1.EndJobRequest{Job: job, Team: team}))
	if err != nil {
		return errors.Wrap(err, "end job at a peer")
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

// Adopt asks the peer at the address to take over jobs.
func (m *Mesh) Adopt(ctx context.Context, address string, jobs []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := m.client(address).Adopt(ctx, connect.NewRequest(&peerv1.AdoptRequest{Jobs: jobs}))
	if err != nil {
		return errors.Wrap(err, "hand jobs to a peer")
	}
	return nil
}
