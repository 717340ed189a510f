package fleethost

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/platform"
)

// TestRemovalOfAMachineWithoutAProcess guards against a request to empty a machine that
// nobody answers, because only some of the storage machines run a process.
func TestRemovalOfAMachineWithoutAProcess(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := httptest.NewServer(objectapi.New().Handler())
	defer func() { server.CloseClientConnections(); server.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	var processes sync.WaitGroup
	defer processes.Wait()
	defer cancel()
	newClient := func(name string) *objstore.Client {
		return objstore.NewClient(platform.NewStore(server.URL, platform.NewStoreDialer(), log), name)
	}
	for _, name := range []string{"s1", "s2"} {
		processes.Go(func() { serveRemovalRequests(ctx, newClient(name), name, log) })
	}
	operator := newClient("operator")
	for _, machine := range []string{"s1", "s9"} {
		_, err := operator.Create(ctx, platform.KindMachineRemovals, machine, map[string]int{"duration_s": 30})
		c.Assert(err, qt.IsNil)
	}
	status := func(machine string) string {
		o, err := operator.Get(ctx, platform.KindMachineRemovals, machine)
		c.Assert(err, qt.IsNil)
		var decoded struct{ State string }
		if json.Unmarshal(o.Status, &decoded) != nil {
			return ""
		}
		return strings.TrimSpace(decoded.State)
	}
	for _, machine := range []string{"s1", "s9"} {
		for deadline := time.Now().Add(20 * time.Second); status(machine) != "completed"; time.Sleep(20 * time.Millisecond) {
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("machine %s", machine))
		}
	}
}
