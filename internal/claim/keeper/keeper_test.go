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

// fakeView implements membership.View for one host. Owners in lapsed have lapsed.
type fakeView struct {
	self   membership.Host
	lapsed *sync.Map
}

func (f fakeView) Self() membership.Host      { return f.self }
func (f fakeView) HoldsLease() bool           { return true }
func (f fakeView) Members() []membership.Host { return []membership.Host{f.self} }
func (f fakeView) Lapsed(o membership.Owner) bool {
	_, lapsed := f.lapsed.Load(o.Host)
	return lapsed
}

// testEnv is an object store, with injected faults, that the hosts of a test share.
type testEnv struct {
	c             *qt.C
	store         *objectapi.Server
	url           string
	lapsed        sync.Map
	loseNextWrite atomic.Bool // the next write takes effect, its response is lost, and an outage begins
}

func (env *testEnv) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || !env.loseNextWrite.Swap(false) {
		env.store.Handler().ServeHTTP(out, r)
		return
	}
	env.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
	env.store.Faults.Replace(fault.Faults{Down: true})
	fault.CloseConnection(out)
}

func newTestEnv(c *qt.C) *testEnv {
	env := &testEnv{c: c, store: objectapi.New()}
	server := httptest.NewServer(env)
	env.url = server.URL
	c.Cleanup(server.Close)
	return env
}

// host starts a keeper. The cleanup clears the faults before it stops the keeper.
func (env *testEnv) host(name string) *keeper.Keeper {
	client := platform.NewStoreClient(env.url, name)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	k := keeper.New(claimstore.New(client), fakeView{membership.Host{Name: name, Epoch: 1}, &env.lapsed}, log)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { k.Run(ctx) })
	env.c.Cleanup(func() {
		env.store.Faults.Replace(fault.Faults{})
		cancel()
		wg.Wait()
		client.Close()
	})
	return k
}

func begin(k *keeper.Keeper, fingerprint string) (*keeper.Ticket, *claim.Response, *apierr.Error) {
	t, a, err := k.Begin(context.Background(), "forecourt", "key-1", fingerprint)
	if err == nil {
		return t, a, nil
	}
	return t, a, apierr.From(err)
}

func TestResendGetsFirstOutcome(t *testing.T) {
	response := &claim.Response{Status: http.StatusCreated, Body: []byte("receipt")}
	cases := []struct {
		name        string
		end         func(k *keeper.Keeper, t *keeper.Ticket, env *testEnv)
		fingerprint string
		check       func(c *qt.C, t *keeper.Ticket, a *claim.Response, err *apierr.Error)
	}{
		{"answered", func(k *keeper.Keeper, t *keeper.Ticket, _ *testEnv) { k.Finish(t, claim.Answered, response) }, "p",
			func(c *qt.C, t *keeper.Ticket, a *claim.Response, _ *apierr.Error) {
				c.Assert(t, qt.IsNil)
				c.Assert(string(a.Body), qt.Equals, "receipt")
			}},
		{"answer too large", func(k *keeper.Keeper, t *keeper.Ticket, _ *testEnv) {
			k.Finish(t, claim.Answered, &claim.Response{Status: 200, Body: make([]byte, 1<<20)})
		}, "p", expect(apierr.Conflict, apierr.MayHaveRun)},
		{"running", func(*keeper.Keeper, *keeper.Ticket, *testEnv) {}, "p", expect(apierr.Conflict, apierr.MayHaveRun)},
		{"other content", func(*keeper.Keeper, *keeper.Ticket, *testEnv) {}, "q", expect(apierr.Conflict, apierr.NotRun)},
		{"host died", func(_ *keeper.Keeper, _ *keeper.Ticket, env *testEnv) { env.lapsed.Store("h1", true) }, "p",
			expect(apierr.Unknown, apierr.MayHaveRun)},
		{"sent without an answer", func(k *keeper.Keeper, t *keeper.Ticket, _ *testEnv) { k.Finish(t, claim.Unknown, nil) }, "p",
			expect(apierr.Unknown, apierr.MayHaveRun)},
		{"not run", func(k *keeper.Keeper, t *keeper.Ticket, _ *testEnv) { k.Finish(t, claim.Released, nil) }, "p",
			func(c *qt.C, t *keeper.Ticket, _ *claim.Response, _ *apierr.Error) { c.Assert(t, qt.IsNotNil) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(c)
			h1, h2 := env.host("h1"), env.host("h2")
			first, _, err := begin(h1, "p")
			c.Assert(err == nil, qt.IsTrue)
			tc.end(h1, first, env)
			ticket, a, err := begin(h2, tc.fingerprint)
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

// TestKeyIsReleasedWhenClaimResponseIsLost guards against a key that stays in
// progress after a claim write with an unknown outcome: the write takes effect,
// its response is lost and an outage begins. Nothing was sent, so the error
// says "not run", and any host can use the key once the store is available
// again.
func TestKeyIsReleasedWhenClaimResponseIsLost(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c)
	h1, h2 := env.host("h1"), env.host("h2")
	env.loseNextWrite.Store(true)
	_, _, err := begin(h1, "p")
	c.Assert(err.Kind, qt.Equals, apierr.Unavailable)
	c.Assert(err.Execution, qt.Equals, apierr.NotRun)
	env.store.Faults.Replace(fault.Faults{})
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

// input and output are the operations of the porcupine model.
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

// model is the sequential specification of a claim. A response that reveals no
// state (in progress, store unavailable) is always legal.
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

// TestClaimsAreLinearizable checks a history of callers that resend one key through
// three hosts, while the store loses responses and has outages.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnv(c)
			hosts := []*keeper.Keeper{env.host("h1"), env.host("h2"), env.host("h3")}
			history := runHistory(env, hosts, seed)
			c.Assert(porcupine.CheckOperations(model, history), qt.IsTrue)
		})
	}
}

func runHistory(env *testEnv, hosts []*keeper.Keeper, seed uint64) []porcupine.Operation {
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
					env.store.Faults.Replace(fault.Faults{LoseWriteResponses: random.IntN(3), Down: random.IntN(10) == 0})
				}
				attempt := fmt.Sprintf("%d.%d", id, n)
				k := hosts[random.IntN(len(hosts))]
				call := time.Since(start)
				ticket, replayed, err := begin(k, "p")
				out := output{ran: ticket != nil, unknown: err != nil && err.Kind == apierr.Unknown}
				if replayed != nil {
					out.replay = string(replayed.Body)
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
