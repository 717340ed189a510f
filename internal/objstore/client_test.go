package objstore_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/emulator/fault"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

const (
	testKind  = objstore.KindClaim
	testName  = "object"
	endMarker = "end"
)

// lossyTransport drops the responses of writes that took effect, and calls after
// before it reports the lost response.
type lossyTransport struct {
	next  http.RoundTripper
	lose  int
	after func()
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil || r.Method == http.MethodGet || l.lose == 0 {
		return resp, err
	}
	l.lose--
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	l.after()
	return nil, io.ErrUnexpectedEOF
}

func noWait(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil }

type testStore struct {
	server *objectapi.Server
	url    string
	nextID int
}

type value struct {
	ID int `json:"id"`
}

func newTestStore(tb interface{ Cleanup(func()) }) *testStore {
	server := objectapi.New()
	web := httptest.NewServer(server.Handler())
	tb.Cleanup(web.Close)
	return &testStore{server: server, url: web.URL}
}

func (s *testStore) client(name string, after func()) (*objstore.Client, *lossyTransport) {
	store := platform.NewStore(s.url, platform.NewStoreDialer(), logrus.New())
	c := objstore.NewClient(store, name)
	l := &lossyTransport{next: http.DefaultTransport, after: after}
	store.SetTransport(l)
	c.SetSleep(noWait)
	return c, l
}

func (s *testStore) value() value {
	s.nextID++
	return value{ID: s.nextID}
}

// applied returns the versions at which each value was written, as read from a
// watch of the store.
func (s *testStore) applied(t interface{ Fatalf(string, ...any) }) map[int][]int64 {
	c, _ := s.client("reader", func() {})
	ctx := context.Background()
	if _, err := c.Create(ctx, testKind, endMarker, value{}); err != nil {
		t.Fatalf("write the end marker: %v", err)
	}
	w, err := c.Watch(ctx, testKind, 0)
	if err != nil {
		t.Fatalf("watch: %v", err)
	}
	defer w.Close()
	versions := map[int][]int64{}
	for {
		e, err := w.Next()
		if err != nil {
			t.Fatalf("watch: %v", err)
		}
		if e.Object.Name == endMarker {
			return versions
		}
		var v value
		if e.Type == objstore.EventPut {
			if err := e.Object.Decode(&v); err != nil {
				t.Fatalf("decode: %v", err)
			}
			versions[v.ID] = append(versions[v.ID], e.Object.Version)
		}
	}
}

// overwrite updates the object as another host would.
func (s *testStore) overwrite(c *objstore.Client, times int) {
	ctx := context.Background()
	for range times {
		o, err := c.Get(ctx, testKind, testName)
		if err != nil {
			return
		}
		_, _ = c.Update(ctx, testKind, testName, o.Version, s.value())
	}
}

// TestWritesAgainstModel compares the reported outcome of each write with the
// store's watch events, while responses are lost and other writers interfere.
func TestWritesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestStore(t)
		other, _ := s.client("other", func() {})
		between := 0
		mine, loss := s.client("mine", func() { s.overwrite(other, between) })
		results := map[int]report{}
		ctx := context.Background()
		for range rapid.IntRange(1, 5).Draw(t, "writes") {
			between = rapid.IntRange(0, 6).Draw(t, "writes between")
			stale := rapid.Bool().Draw(t, "stale")
			current, err := mine.Get(ctx, testKind, testName)
			if stale {
				s.overwrite(other, 1)
			}
			v := s.value()
			loss.lose = rapid.IntRange(0, 2).Draw(t, "lost")
			var o objstore.Object
			if errors.Is(err, objstore.ErrNotFound) {
				o, err = mine.Create(ctx, testKind, testName, v)
			} else {
				o, err = mine.Update(ctx, testKind, testName, current.Version, v)
			}
			loss.lose = 0
			results[v.ID] = report{err, o.Version}
		}
		versions := s.applied(t)
		for id, r := range results {
			checkReport(t, id, r, versions[id])
		}
	})
}

// report is the result that the client returned for a write.
type report struct {
	err     error
	version int64
}

func checkReport(t *rapid.T, id int, r report, applied []int64) {
	switch {
	case r.err == nil && len(applied) != 1:
		t.Fatalf("write %d was reported as written and took effect %d times", id, len(applied))
	case r.err == nil && applied[0] != r.version:
		t.Fatalf("write %d was reported at version %d and took effect at %d", id, r.version, applied[0])
	case errors.Is(r.err, objstore.ErrConflict) && len(applied) != 0:
		t.Fatalf("write %d was reported as a conflict and took effect", id)
	case errors.Is(r.err, objstore.ErrUnavailable) && len(applied) != 0:
		t.Fatalf("write %d was reported as not written and took effect", id)
	case len(applied) > 1:
		t.Fatalf("write %d took effect %d times", id, len(applied))
	}
}

func TestCreateIsResolvedWhenResponseLostAndOverwritten(t *testing.T) {
	c := qt.New(t)
	s := newTestStore(t)
	other, _ := s.client("other", func() {})
	mine, loss := s.client("mine", func() { s.overwrite(other, 1) })
	loss.lose = 1
	_, err := mine.Create(context.Background(), testKind, testName, s.value())
	c.Assert(err, qt.IsNil)
}

func TestWriteIsAmbiguousWhenHistoryIsTooShort(t *testing.T) {
	c := qt.New(t)
	s := newTestStore(t)
	other, _ := s.client("other", func() {})
	mine, loss := s.client("mine", func() { s.overwrite(other, 20) })
	loss.lose = 1
	_, err := mine.Create(context.Background(), testKind, testName, s.value())
	c.Assert(errors.Is(err, objstore.ErrAmbiguous), qt.IsTrue, qt.Commentf("%v", err))
}

func TestDeleteIsResolvedWhenResponseLost(t *testing.T) {
	ctx := context.Background()
	for name, between := range map[string]func(*testStore, *objstore.Client){
		"alone":     func(*testStore, *objstore.Client) {},
		"recreated": func(s *testStore, other *objstore.Client) { _, _ = other.Create(ctx, testKind, testName, s.value()) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestStore(t)
			other, _ := s.client("other", func() {})
			mine, loss := s.client("mine", func() { between(s, other) })
			o, err := mine.Create(ctx, testKind, testName, s.value())
			c.Assert(err, qt.IsNil)
			loss.lose = 1
			c.Assert(mine.Delete(ctx, testKind, testName, o.Version), qt.IsNil)
			_, err = other.Get(ctx, testKind, testName)
			c.Assert(errors.Is(err, objstore.ErrNotFound), qt.Equals, name == "alone")
		})
	}
}

// TestThrottledCallsAreRetried checks that throttled calls are retried after the
// requested delay and never reported as written.
func TestThrottledCallsAreRetried(t *testing.T) {
	c := qt.New(t)
	refusals := 3
	server := objectapi.New()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusals > 0 {
			refusals--
			w.Header().Set("Retry-After", "2")
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		server.Handler().ServeHTTP(w, r)
	}))
	defer web.Close()
	client := platform.NewStoreClient(web.URL, "mine")
	var waited []time.Duration
	client.SetSleep(func(_ context.Context, d time.Duration) bool {
		waited = append(waited, d)
		return true
	})
	_, err := client.Create(context.Background(), testKind, testName, value{ID: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(waited, qt.HasLen, 3)
	for _, d := range waited {
		c.Assert(d >= 2*time.Second, qt.IsTrue, qt.Commentf("waited %v", d))
	}
	refusals = 1
	_, err = client.Get(context.Background(), testKind, testName)
	c.Assert(err, qt.IsNil)
	refusals = 1 << 20
	_, err = client.Create(context.Background(), testKind, "refused", value{ID: 2})
	c.Assert(errors.Is(err, objstore.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCreateDuringOutageIsNotAmbiguous(t *testing.T) {
	c := qt.New(t)
	s := newTestStore(t)
	mine, _ := s.client("mine", func() {})
	s.server.Faults.Replace(fault.Faults{Down: true})
	_, err := mine.Create(context.Background(), testKind, testName, s.value())
	// The store returns 503 only for calls that it did not execute.
	c.Assert(errors.Is(err, objstore.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, objstore.ErrAmbiguous), qt.IsFalse, qt.Commentf("%v", err))
	s.server.Faults.Replace(fault.Faults{})
	c.Assert(s.applied(t), qt.DeepEquals, map[int][]int64{})
}
