package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	poisonBody    = "poison"
	longBody      = "long"
	runTime       = 100 * time.Millisecond
	longRunTime   = time.Second
	restartTime   = 4 * time.Second
	entryLifetime = 3600 * time.Millisecond // of the registry entry of an upstream that has crashed
	gossipPeriod  = 5 * time.Millisecond    // as long as hosts coalesce changes
)

// crashFleet holds hosts before one set of upstreams. An upstream that runs a request
// with poisonBody crashes, and starts again after restartTime.
type crashFleet struct {
	c       *qt.C
	ctx     context.Context
	wg      sync.WaitGroup
	mu      sync.Mutex
	engines []*crashEngine
	running map[string]*crashEngine // last upstream by body
	crashes int
	sends   int // of requests with poisonBody
	hosts   []*crashHost
	version int64

	crashDelay         time.Duration    // from the start of a run with poisonBody to its crash
	entryLifetime      time.Duration    // of the registry entry of an upstream that has crashed
	restartsAtOnce     bool             // under another id, at the same address; the old entry lingers
	keepsID            bool             // restartsAtOnce, but under the same id
	lingering          []fleet.Upstream // entries of upstreams that have ended
	undelimited        bool             // a run with poisonBody sends an event, and its response ends with the connection
	undelimitedAnswers bool             // nothing delimits the responses to other requests
	deafHost           int              // gets no list of upstreams after its first one; -1 for none
	runs               []poisonRun
}

// poisonRun is a request that crashes the upstream that runs it.
type poisonRun struct {
	body            string
	sentAt, endedAt time.Time // endedAt is zero if the upstream had already ended
}

type crashEngine struct {
	fleet.Upstream
	listed  bool
	up      bool
	cut     bool          // from all hosts
	leaves  bool          // announces so in its responses
	crashed chan struct{} // closed when the process ends, or when the connections to it are reset
}

type crashHost struct {
	core    *entry.Core
	handler *entry.Handler
	stop    context.CancelFunc
}

// runCrashFleet runs the test in a bubble with the given numbers of hosts and upstreams.
func runCrashFleet(t *testing.T, hosts, upstreams int, test func(c *qt.C, f *crashFleet)) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &crashFleet{c: qt.New(t), ctx: ctx, running: map[string]*crashEngine{}, crashDelay: runTime / 10, entryLifetime: entryLifetime, deafHost: -1}
		for n := range upstreams {
			f.engines = append(f.engines, &crashEngine{
				Upstream: fleet.Upstream{ID: fmt.Sprint("u", n), Service: "lm", Address: fmt.Sprint("u", n), Slots: 8, Started: time.Now()},
				listed:   true, up: true, crashed: make(chan struct{}),
			})
		}
		for n := range hosts {
			f.hosts = append(f.hosts, nil)
			f.startHost(n)
		}
		defer f.wg.Wait()
		defer cancel()
		f.publish()
		f.wg.Go(f.gossip)
		test(f.c, f)
	})
}

// startHost starts host n, or restarts it without its memory.
func (f *crashFleet) startHost(n int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	core := entry.NewCore(entry.Identity{Name: fmt.Sprint("h", n), Incarnation: fmt.Sprint(n, time.Now()), DataCentre: "dc"}, log)
	config := *newCore(0).Config()
	config.Version++
	config.Services = map[string]fleet.Service{"lm": {Name: "lm", HealthPath: "/health"}}
	core.SetConfig(&config)
	core.SetConnector(f)
	core.SetRegistry(f)
	ctx, stop := context.WithCancel(f.ctx)
	f.wg.Go(func() { core.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts[n] != nil {
		f.hosts[n].stop()
	}
	f.hosts[n] = &crashHost{core: core, handler: entry.NewHandler(core, f, telemetry.NewMetrics(), log), stop: stop}
	core.SetStoreReachable(true)
	core.SetUpstreams(f.registered(), f.version)
}

// registered returns the registry's entries. The caller holds mu.
func (f *crashFleet) registered() []fleet.Upstream {
	list := slices.Clone(f.lingering)
	for _, e := range f.engines {
		if e.listed {
			list = append(list, e.Upstream)
		}
	}
	return list
}

// publish passes the registry's entries to all hosts.
func (f *crashFleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	for n, h := range f.hosts {
		if n != f.deafHost || f.version == 1 {
			h.core.SetUpstreams(f.registered(), f.version)
		}
	}
}

func (f *crashFleet) gossip() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		hosts := append([]*crashHost(nil), f.hosts...)
		f.mu.Unlock()
		for _, from := range hosts {
			for _, to := range hosts {
				to.core.MergeState(from.core.State())
			}
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(gossipPeriod):
		}
	}
}

func (f *crashFleet) engine(u fleet.Upstream) *crashEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.Address == u.Address {
			return e
		}
	}
	return nil
}

// Connect implements entry.Connector.
func (f *crashFleet) Connect(_ context.Context, u fleet.Upstream) error {
	e := f.engine(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up || e.cut {
		return errors.New("connection refused")
	}
	return nil
}

// Ping implements entry.Pinger.
func (f *crashFleet) Ping(ctx context.Context, u fleet.Upstream, _ string) (entry.Health, error) {
	if err := f.Connect(ctx, u); err != nil {
		return entry.Health{}, err
	}
	e := f.engine(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.ID != u.ID {
		return entry.Health{}, entry.ErrReplaced
	}
	return entry.Health{Healthy: !e.leaves, Leaving: e.leaves, Started: e.Started}, nil
}

// ReadUpstream implements entry.Registry.
func (f *crashFleet) ReadUpstream(_ context.Context, id string) (fleet.Upstream, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.registered() {
		if u.ID == id {
			return u, true, nil
		}
	}
	return fleet.Upstream{}, false, nil
}

// Do implements entry.UpstreamClient.
func (f *crashFleet) Do(ctx context.Context, call entry.Call) (*entry.Response, error) {
	e := f.engine(call.Upstream)
	f.mu.Lock()
	if e.up && e.ID != call.Upstream.ID {
		f.mu.Unlock()
		return &entry.Response{Status: http.StatusMisdirectedRequest, NotRun: true, Moved: true, Header: http.Header{}, Body: http.NoBody}, nil
	}
	up, cut, crashed := e.up && !e.cut, e.cut, e.crashed
	f.running[string(call.Body)] = e
	isPoison := strings.HasPrefix(string(call.Body), poisonBody)
	run := -1
	if up && isPoison {
		f.sends++
		f.runs = append(f.runs, poisonRun{body: string(call.Body), sentAt: time.Now()})
		run = len(f.runs) - 1
	}
	f.mu.Unlock()
	if !up && (!cut || call.NewConnection) {
		return connectionRefused(call)
	}
	noResponse := func(call entry.Call) (*entry.Response, error) {
		return nil, &entry.SendError{NewConnection: call.NewConnection, Err: errors.New("connection reset")}
	}
	if cut { // the cut has left a connection open, on which the first bytes are reset
		return noResponse(call)
	}
	if isPoison {
		f.wg.Go(func() {
			f.sleep(f.crashDelay)
			f.crash(e, run)
		})
		if f.undelimited {
			end := io.NopCloser(io.MultiReader(strings.NewReader(eventText(1, 1)), &closedBy{ctx, crashed}))
			return &entry.Response{Status: http.StatusOK, Header: http.Header{}, Events: true, Body: end}, nil
		}
		select {
		case <-crashed:
		case <-ctx.Done():
		}
		return noResponse(call)
	}
	duration := runTime
	if strings.HasPrefix(string(call.Body), longBody) {
		duration = longRunTime
	}
	select {
	case <-crashed:
		return noResponse(call)
	case <-ctx.Done():
		return noResponse(call)
	case <-time.After(duration):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := complete("done")
	if f.undelimitedAnswers {
		answer = undelimited(answer)
	}
	if e.leaves {
		answer = announcing(answer)
	}
	return answer(call)
}

// undelimited has the response end with its connection.
func undelimited(step func(entry.Call) (*entry.Response, error)) func(entry.Call) (*entry.Response, error) {
	return func(call entry.Call) (*entry.Response, error) {
		resp, err := step(call)
		if err == nil {
			resp.Delimited = false
		}
		return resp, err
	}
}

// closedBy is the rest of a body that ends with the connection of a crashed upstream.
type closedBy struct {
	ctx     context.Context
	crashed <-chan struct{}
}

// Read implements io.Reader.
func (b *closedBy) Read([]byte) (int, error) {
	select {
	case <-b.crashed:
		return 0, io.EOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// breakRun ends the connections of the upstream that runs the request with the body.
func (f *crashFleet) breakRun(body string, change func(e *crashEngine)) *crashEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.running[body]
	change(e)
	close(e.crashed)
	e.crashed = make(chan struct{})
	return e
}

func (f *crashFleet) heal(e *crashEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.cut = false
}

// crash ends the upstream's process, because of the run, and starts it again later.
func (f *crashFleet) crash(e *crashEngine, run int) {
	f.mu.Lock()
	if e.up {
		e.up = false
		f.crashes++
		f.runs[run].endedAt = time.Now()
		close(e.crashed)
		f.wg.Go(func() { f.restart(e) })
	}
	f.mu.Unlock()
}

func (f *crashFleet) restart(e *crashEngine) {
	if f.restartsAtOnce {
		f.replace(e)
		return
	}
	f.sleep(f.entryLifetime)
	f.setListed(e, false)
	f.sleep(max(restartTime-f.entryLifetime, restartTime/10))
	f.mu.Lock()
	e.up, e.cut, e.crashed, e.Started = true, false, make(chan struct{}), time.Now()
	f.mu.Unlock()
	f.setListed(e, true)
}

// replace starts the upstream's process again within milliseconds, under another id.
func (f *crashFleet) replace(e *crashEngine) {
	f.sleep(gossipPeriod)
	if f.keepsID {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.up, e.crashed, e.Started = true, make(chan struct{}), time.Now()
		return // its entry changes with the next list
	}
	f.mu.Lock()
	ended := e.Upstream
	f.lingering = append(f.lingering, ended)
	e.up, e.crashed, e.Started = true, make(chan struct{}), time.Now()
	e.ID = fmt.Sprint(e.Address, "-", e.Started.UnixMilli())
	f.mu.Unlock()
	f.publish()
	f.sleep(2 * restartTime)
	f.mu.Lock()
	f.lingering = slices.DeleteFunc(f.lingering, func(u fleet.Upstream) bool { return u.ID == ended.ID })
	f.mu.Unlock()
	f.publish()
}

func (f *crashFleet) setListed(e *crashEngine, listed bool) {
	f.mu.Lock()
	e.listed = listed
	f.mu.Unlock()
	f.publish()
}

func (f *crashFleet) sleep(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}

// serve sends a request through host n.
func (f *crashFleet) serve(n int, path, body string) error {
	return f.serveWithin(f.ctx, n, path, body)
}

func (f *crashFleet) serveWithin(ctx context.Context, n int, path, body string) error {
	return f.serveParts(ctx, n, path, body)
}

// serveParts is serveWithin for a request whose prompt has the given shared parts.
func (f *crashFleet) serveParts(ctx context.Context, n int, path, body string, parts ...string) error {
	f.mu.Lock()
	h := f.hosts[n%len(f.hosts)]
	f.mu.Unlock()
	return h.handler.Serve(ctx, entry.Request{
		ID: "r", Method: http.MethodPost, Target: path, Path: path, Host: hostName, Key: "k", Body: []byte(body), TimeLeft: 5 * time.Second,
		PromptParts: parts,
	}, httptest.NewRecorder())
}

// abandon sends a request through host n for a caller that leaves after the given time.
func (f *crashFleet) abandon(n int, path, body string, after time.Duration) error {
	ctx, cancel := context.WithTimeout(f.ctx, after)
	defer cancel()
	return f.serveWithin(ctx, n, path, body)
}

// contactTime is how long hosts may take to learn of a crash.
const contactTime = 3 * time.Second

// lateSends returns how often a request was sent later than contactTime after it had
// crashed its third upstream.
func (f *crashFleet) lateSends(body string) int {
	return f.lateSendsAfter(3, func(b string) bool { return b == body })
}

// lateSendsAfter returns how often requests with a matching body were sent later than
// contactTime after they had crashed the given number of upstreams.
func (f *crashFleet) lateSendsAfter(tolerated int, matches func(body string) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ends []time.Time
	for _, r := range f.runs {
		if matches(r.body) && !r.endedAt.IsZero() {
			ends = append(ends, r.endedAt)
		}
	}
	if len(ends) < tolerated {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	late := 0
	for _, r := range f.runs {
		if matches(r.body) && r.sentAt.After(ends[tolerated-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

func (f *crashFleet) counts() (crashes, sends int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes, f.sends
}
