package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/claim"
	"github.com/masticscale/masticscale/internal/claim/claimstore"
	"github.com/masticscale/masticscale/internal/claim/keeper"
	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type feed struct {
	self   membership.Host
	lapsed *sync.Map
}

func (f feed) Self() membership.Host      { return f.self }
func (f feed) HoldsLease() bool           { return true }
func (f feed) Members() []membership.Host { return []membership.Host{f.self} }
func (f feed) Lapsed(o membership.Owner) bool {
	_, gone := f.lapsed.Load(o.Host)
	return gone
}

type world struct {
	c      *qt.C
	store  *objectapi.Server
	url    string
	lapsed sync.Map
	trap   atomic.Bool // the next write takes effect, its answer is lost, and an outage begins
}

func (w *world) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || !w.trap.Swap(false) {
		w.store.Handler().ServeHTTP(out, r)
		return
	}
	w.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
	w.store.Faults.Put(fault.Set{Down: true})
	fault.Cut(out)
}

func newWorld(c *qt.C) *world {
	w := &world{c: c, store: objectapi.New()}
	server := httptest.NewServer(w)
	w.url = server.URL
	c.Cleanup(server.Close)
	return w
}

// host starts a keeper; stop ends it as a killed host would, without settling.
func (w *world) host(name string) *keeper.Keeper {
	client := platform.NewStoreClient(w.url, name)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	k := keeper.New(claimstore.New(client), feed{membership.Host{Name: name, Epoch: 1}, &w.lapsed}, log)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { k.Run(ctx) })
	w.c.Cleanup(func() {
		w.store.Faults.Put(fault.Set{})
		cancel()
		wg.Wait()
		client.Close()
	})
	return k
}

func begin(k *keeper.Keeper, print string) (*keeper.Ticket, *claim.Response, *apierr.Error) {
	t, a, err := k.Begin(context.Background(), "forecourt", "key-1", print)
	if err == nil {
		return t, a, nil
	}
	return t, a, apierr.From(err)
}

func TestResendGetsFirstOutcome(t *testing.T) {
	answer := &claim.Response{Status: http.StatusCreated, Body: []byte("receipt")}
	cases := []struct {
		name  string
		end   func(k *keeper.Keeper, t *keeper.Ticket, w *world)
		print string
		check func(c *qt.C, t *keeper.Ticket, a *claim.Response, err *apierr.Error)
	}{
		{"answered", func(k *keeper.Keeper, t *keeper.Ticket, _ *world) { k.Finish(t, claim.Answered, answer) }, "p",
			func(c *qt.C, t *keeper.Ticket, a *claim.Response, _ *apierr.Error) {
				c.Assert(t, qt.IsNil)
				c.Assert(string(a.Body), qt.Equals, "receipt")
			}},
		{"answer too large", func(k *keeper.Keeper, t *keeper.Ticket, _ *world) {
			k.Finish(t, claim.Answered, &claim.Response{Status: 200, Body: make([]byte, 1<<20)})
		}, "p", expect(apierr.Conflict, apierr.MayHaveRun)},
		{"running", func(*keeper.Keeper, *keeper.Ticket, *world) {}, "p", expect(apierr.Conflict, apierr.MayHaveRun)},
		{"other content", func(*keeper.Keeper, *keeper.Ticket, *world) {}, "q", expect(apierr.Conflict, apierr.NotRun)},
		{"host died", func(_ *keeper.Keeper, _ *keeper.Ticket, w *world) { w.lapsed.Store("h1", true) }, "p",
			expect(apierr.Unknown, apierr.MayHaveRun)},
		{"sent without an answer", func(k *keeper.Keeper, t *keeper.Ticket, _ *world) { k.Finish(t, claim.Unknown, nil) }, "p",
			expect(apierr.Unknown, apierr.MayHaveRun)},
		{"not run", func(k *keeper.Keeper, t *keeper.Ticket, _ *world) { k.Finish(t, claim.Released, nil) }, "p",
			func(c *qt.C, t *keeper.Ticket, _ *claim.Response, _ *apierr.Error) { c.Assert(t, qt.IsNotNil) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c)
			h1, h2 := w.host("h1"), w.host("h2")
			first, _, err := begin(h1, "p")
			c.Assert(err == nil, qt.IsTrue)
			tc.end(h1, first, w)
			ticket, a, err := begin(h2, tc.print)
			tc.check(c, ticket, a, err)
		})
	}
}

func expect(kind apierr.Kind, execution apierr.Execution) func(*qt.C, *keeper.Ticket, *claim.Response, *apierr.Error) {
	return func(c *qt.C, t *keeper.Ticket, a *claim.Response, err *apierr.Error) {
		c.Assert(t, qt.IsNil)
		c.Assert(a, qt.IsNil)
		c.Assert(err.Kind, qt.Equals, kind)
		c.Assert(err.Execution, qt.Equals, execution)
	}
}

// TestLostAnswerOfClaim loses the platform's answers, then takes it down, so
// that the writer never learns whether its claim stands. Nothing was sent, so
// the refusal says "not run", and the key is free again once the platform is
// back, through any host.
func TestLostAnswerOfClaim(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	h1, h2 := w.host("h1"), w.host("h2")
	w.trap.Store(true)
	_, _, err := begin(h1, "p")
	c.Assert(err.Kind, qt.Equals, apierr.Unavailable)
	c.Assert(err.Execution, qt.Equals, apierr.NotRun)
	w.store.Faults.Put(fault.Set{})
	for {
		ticket, _, err := begin(h2, "p")
		if ticket != nil {
			break
		}
		c.Assert(err.Kind, qt.Equals, apierr.Conflict)
		time.Sleep(20 * time.Millisecond)
	}
	_, _, refused := begin(h1, "p")
	c.Assert(refused, qt.IsNotNil)
}

// The operations of the model.
type input struct {
	finish  bool
	attempt string
	state   claim.State
}

type output struct {
	ran     bool
	replay  string
	unknown bool
}

// model is a claim as one process would keep it. An answer that tells nothing
// (in progress, platform down) is always legal.
var model = porcupine.Model{
	Init: func() any { return "free" },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(string), in.(input), out.(output)
		switch {
		case i.finish && i.state == claim.Answered:
			return s == "running "+i.attempt, "answered " + i.attempt
		case i.finish && i.state == claim.Released:
			return s == "running "+i.attempt, "free"
		case i.finish:
			return s == "running "+i.attempt, "unknown"
		case o.ran:
			return s == "free", "running " + i.attempt
		case o.replay != "":
			return s == "answered "+o.replay, s
		case o.unknown:
			return s == "unknown", s
		default:
			return true, s
		}
	},
}

// TestClaimsAreLinearizable lets many callers resend one key through three hosts
// while the platform loses answers and has outages.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c)
			hosts := []*keeper.Keeper{w.host("h1"), w.host("h2"), w.host("h3")}
			history := runHistory(w, hosts, seed)
			c.Assert(porcupine.CheckOperations(model, history), qt.IsTrue)
		})
	}
}

func runHistory(w *world, hosts []*keeper.Keeper, seed uint64) []porcupine.Operation {
	const callers, calls = 5, 10
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(id int, in input, call time.Duration, out output) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: id, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(start))})
	}
	var wg sync.WaitGroup
	for id := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(id)))
			for n := range calls {
				if id == 0 {
					w.store.Faults.Put(fault.Set{LoseAnswers: random.IntN(3), Down: random.IntN(10) == 0})
				}
				attempt := fmt.Sprintf("%d.%d", id, n)
				k := hosts[random.IntN(len(hosts))]
				call := time.Since(start)
				ticket, kept, err := begin(k, "p")
				out := output{ran: ticket != nil, unknown: err != nil && err.Kind == apierr.Unknown}
				if kept != nil {
					out.replay = string(kept.Body)
				}
				record(id, input{attempt: attempt}, call, out)
				if ticket == nil {
					continue
				}
				end := input{finish: true, attempt: attempt, state: claim.Released}
				if random.IntN(6) == 0 {
					end.state = claim.Answered
				}
				call = time.Since(start)
				k.Finish(ticket, end.state, &claim.Response{Status: 200, Body: []byte(attempt)})
				record(id, end, call, output{})
			}
		})
	}
	wg.Wait()
	return history
}
