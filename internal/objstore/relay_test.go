package objstore_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
)

// faulty is a transport whose creates and reads end as they are told.
type faulty struct {
	objstore.Transport
	err   error
	calls int
}

func (f *faulty) Get(context.Context, objstore.Kind, string) (objstore.Object, error) {
	f.calls++
	return objstore.Object{Name: "direct"}, f.err
}

func (f *faulty) Create(_ context.Context, _ objstore.Kind, name string, _ json.RawMessage) (objstore.Object, error) {
	f.calls++
	return objstore.Object{Name: name}, f.err
}

// TestCallsGoThroughAPeer replays a store that turns one host away and serves
// the others.
func TestCallsGoThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		direct := &faulty{}
		relayed := 0
		transport := objstore.NewRelayedTransport(direct, func(context.Context, objstore.Call) (objstore.Page, error) {
			relayed++
			return objstore.Page{Items: []objstore.Object{{Name: "relayed"}}}, nil
		})
		o, err := transport.Get(ctx, testKind, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(o.Name, qt.Equals, "direct")
		direct.err = objstore.ErrUnavailable
		for range 10 {
			o, err = transport.Get(ctx, testKind, "a")
			c.Assert(err, qt.IsNil)
			c.Assert(o.Name, qt.Equals, "relayed")
		}
		c.Assert(direct.calls <= 3, qt.IsTrue, qt.Commentf("%d direct calls", direct.calls))
		direct.err = nil
		time.Sleep(time.Second)
		o, err = transport.Get(ctx, testKind, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(o.Name, qt.Equals, "direct")
		c.Assert(relayed, qt.Equals, 10)
	})
}

// TestUnansweredWriteIsNotSentTwice checks that a write which may take effect is
// left to its writer, who reads back.
func TestUnansweredWriteIsNotSentTwice(t *testing.T) {
	c := qt.New(t)
	direct := &faulty{err: objstore.ErrNoAnswer}
	transport := objstore.NewRelayedTransport(direct, func(context.Context, objstore.Call) (objstore.Page, error) {
		c.Fatal("the write was sent through a peer too")
		return objstore.Page{}, nil
	})
	_, err := transport.Create(context.Background(), testKind, "a", nil)
	c.Assert(errors.Is(err, objstore.ErrNoAnswer), qt.IsTrue)
}
