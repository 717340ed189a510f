package knowledge_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadUpstreamAnswersFromACopy guards against a registry that is read from this host's
// list, which still has an upstream that has left.
func TestReadUpstreamAnswersFromACopy(t *testing.T) {
	runSyncer(t, func(c *qt.C, f *fixture) {
		version := f.writeUpstream(c, "u1")
		time.Sleep(time.Second)
		c.Assert(f.listed(), qt.Equals, 1)
		u, registered, err := f.syncer.ReadUpstream(context.Background(), "u1")
		c.Assert(err, qt.IsNil)
		c.Assert(registered, qt.IsTrue)
		c.Assert(u.Address, qt.Equals, "u1")
		f.client.SetStaleWatch(true)
		c.Assert(f.writer.Delete(context.Background(), kindUpstreams, "u1", version), qt.IsNil)
		_, registered, err = f.syncer.ReadUpstream(context.Background(), "u1")
		c.Assert(err, qt.IsNil)
		c.Assert(registered, qt.IsFalse)
		c.Assert(f.listed(), qt.Equals, 1)
		f.client.SetPartitioned(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err = f.syncer.ReadUpstream(ctx, "u1")
		c.Assert(err, qt.IsNotNil)
	})
}
