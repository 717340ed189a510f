package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/admin"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/emulator/objectapi"
	"github.com/masticscale/masticscale/internal/membership"
	"github.com/masticscale/masticscale/platform"
)

var update = flag.Bool("update", false, "write the committed description anew")

const descriptionFile = "../../docs/api/admin.openapi.json"

// singleHostFleet is a fleet without other hosts.
type singleHostFleet struct{ membership.View }

func (singleHostFleet) Self() membership.Host                                  { return membership.Host{Name: "h1"} }
func (singleHostFleet) KnownHosts(context.Context) []membership.Host           { return nil }
func (singleHostFleet) Broadcast(context.Context, catalog.Withdrawal) []string { return []string{"h2"} }
func (singleHostFleet) Status(context.Context, membership.Host) (admin.HostStatus, error) {
	return admin.HostStatus{}, io.ErrUnexpectedEOF
}

type testAPI struct {
	c       *qt.C
	url     string
	catalog *catalog.Catalog
	log     bytes.Buffer
}

func newTestAPI(t *testing.T) *testAPI {
	b := &testAPI{c: qt.New(t), catalog: catalog.New()}
	server := httptest.NewServer(objectapi.New().Handler())
	b.c.Cleanup(server.CloseClientConnections)
	store := platform.NewStoreClient(server.URL, "test")
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	syncer := catalog.NewSyncer(store, b.catalog, "", discardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		syncer.Run(ctx)
	}()
	b.c.Cleanup(func() { cancel(); <-done })
	log := logrus.New()
	log.SetOutput(&b.log)
	api := admin.New(admin.Deps{
		Tokens: admin.Tokens{"ada": "secret-a", admin.SharedOperator: "secret-o"}, Store: store, Catalog: b.catalog,
		Members: singleHostFleet{}, Peers: singleHostFleet{}, Source: syncer, Relay: singleHostFleet{}, Log: log,
		Pool: dispatch.NewPool(), Batches: batch.NewService(batch.NewRepository(store)),
	})
	listener := httptest.NewServer(api.Handler())
	b.c.Cleanup(listener.Close)
	b.url = listener.URL
	return b
}

// call sends a request and returns the status and body of the response.
func (b *testAPI) call(token, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, b.url+"/admin/v1"+path, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	b.c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	b.c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(text)
}

func (b *testAPI) expect(status int, want, method, path, body string) string {
	b.c.Helper()
	got, text := b.call("secret-a", method, path, body)
	b.c.Assert(got, qt.Equals, status, qt.Commentf("%s", text))
	b.c.Assert(text, qt.Contains, want)
	return text
}

// waitForSnapshot waits until the catalog's snapshot satisfies the condition.
func (b *testAPI) waitForSnapshot(condition func(*catalog.Snapshot) bool) {
	for deadline := time.Now().Add(30 * time.Second); !condition(b.catalog.Current()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.c.Fatal("the catalog did not reach the expected state")
		}
	}
}

func TestCommittedDescriptionIsCurrent(t *testing.T) {
	c := qt.New(t)
	want, err := admin.OpenAPIDescription()
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(descriptionFile, want, 0o644), qt.IsNil)
	}
	got, err := os.ReadFile(descriptionFile)
	c.Assert(err, qt.IsNil, qt.Commentf("write it with: go test ./internal/admin -run Description -update"))
	c.Assert(string(got), qt.Equals, string(want))
}

// TestDescriptionMatchesTheHandlers calls every path of the committed description
// with every method and checks that exactly the described operations are served.
func TestDescriptionMatchesTheHandlers(t *testing.T) {
	b := newTestAPI(t)
	text, err := os.ReadFile(descriptionFile)
	b.c.Assert(err, qt.IsNil)
	var doc struct {
		Paths map[string]map[string]json.RawMessage
	}
	b.c.Assert(json.Unmarshal(text, &doc), qt.IsNil)
	b.c.Assert(len(doc.Paths) > 10, qt.IsTrue)
	for path, described := range doc.Paths {
		for _, method := range []string{"get", "post", "put", "patch", "delete"} {
			relative := strings.NewReplacer("/admin/v1", "", "{name}", "no-such", "{id}", "no-such").Replace(path)
			status, _ := b.call("wrong", strings.ToUpper(method), relative, "")
			b.c.Assert(status, qt.Equals, http.StatusUnauthorized)
			status, text := b.call("secret-a", strings.ToUpper(method), relative, "")
			_, ok := described[method]
			served := status != http.StatusMethodNotAllowed && !strings.Contains(text, "404 page not found")
			b.c.Assert(served, qt.Equals, ok, qt.Commentf("%s %s: %d %s", method, path, status, text))
		}
	}
}

func TestDeleteIsRefusedWhileInUse(t *testing.T) {
	b := newTestAPI(t)
	b.expect(200, "", "POST", "/teams", `{"name": "cafe", "spec": {"rate": 1, "burst": 1}}`)
	text := b.expect(200, "msk-", "POST", "/keys", `{"team": "cafe", "label": "till"}`)
	var created admin.Key
	b.c.Assert(json.Unmarshal([]byte(text), &created), qt.IsNil)
	b.expect(200, "", "POST", "/services", `{"name": "cards", "spec": {"kind": "plain", "upstreams": {}}}`)
	b.expect(200, "", "POST", "/routes", `{"name": "pay", "spec": {"path": "/pay", "service": "cards"}}`)
	b.waitForSnapshot(func(s *catalog.Snapshot) bool { return len(s.Keys) == 1 && len(s.Routes) == 1 && len(s.Teams) == 1 })
	b.expect(409, `\"cafe\" is in use by key `, "DELETE", "/teams/cafe", "")
	b.expect(409, `\"cards\" is in use by route pay`, "DELETE", "/services/cards", "")
	b.expect(200, `"pending_hosts":["h2"]`, "POST", "/keys/"+string(created.ID)+"/withdraw", `{}`)
	b.expect(200, "", "DELETE", "/routes/pay", "")
	b.waitForSnapshot(func(s *catalog.Snapshot) bool { return !s.Keys[created.ID].Active() && len(s.Routes) == 0 })
	b.expect(200, "", "DELETE", "/teams/cafe", "")
	b.expect(200, "", "DELETE", "/services/cards", "")
}

func TestUpdateRequiresCurrentVersion(t *testing.T) {
	b := newTestAPI(t)
	b.expect(200, "", "POST", "/teams", `{"name": "cafe", "spec": {"rate": 1, "burst": 1}}`)
	var read admin.Named[json.RawMessage]
	b.c.Assert(json.Unmarshal([]byte(b.expect(200, "", "GET", "/teams/cafe", "")), &read), qt.IsNil)
	body, _ := json.Marshal(map[string]any{"version": read.Version, "spec": map[string]any{"rate": 2, "burst": 3}})
	b.expect(400, "names no version", "PUT", "/teams/cafe", `{"spec": {"rate": 2, "burst": 3}}`)
	b.expect(200, `"rate":2`, "PUT", "/teams/cafe", string(body))
	b.expect(409, "another operator changed it first", "PUT", "/teams/cafe", string(body))
	b.expect(400, `"field":"rate"`, "PUT", "/teams/cafe", `{"version": 1, "spec": {"rate": -2, "burst": 3}}`)
}

func TestInvalidReferencesAreRejected(t *testing.T) {
	b := newTestAPI(t)
	b.expect(404, "create the service first", "POST", "/routes", `{"name": "pay", "spec": {"path": "/pay", "service": "cards"}}`)
	b.expect(200, "", "POST", "/services", `{"name": "lm", "spec": {"kind": "engine", "models": ["m"], "upstreams": {}}}`)
	b.expect(400, "is not a plain service", "POST", "/routes", `{"name": "pay", "spec": {"path": "/pay", "service": "lm"}}`)
	b.waitForSnapshot(func(s *catalog.Snapshot) bool { return len(s.Services) == 1 })
	b.expect(409, `offered by service \"lm\" too`, "POST", "/services", `{"name": "lm2", "spec": {"kind": "engine", "models": ["m"], "upstreams": {}}}`)
	b.expect(400, "unknown field", "POST", "/teams", `{"name": "cafe", "spce": {}}`)
	b.expect(404, "create the team first", "POST", "/keys", `{"team": "nobody"}`)
}

func TestConfiguredObjectsAreReadOnly(t *testing.T) {
	b := newTestAPI(t)
	b.expect(200, `"author":"ada"`, "POST", "/config", `{"author": "mallory", "bundle": {"base": {"fleet": {"teams": {"cafe": {"rate": 1, "burst": 1}}}}}}`)
	b.expect(400, "stands in the configuration", "DELETE", "/teams/cafe", "")
	b.expect(400, "stands in the configuration", "PUT", "/teams/cafe", `{"version": 1, "spec": {"rate": 2, "burst": 3}}`)
	b.expect(400, "fleet.teams.cafe.rate", "POST", "/config", `{"bundle": {"base": {"fleet": {"teams": {"cafe": {"rate": 0, "burst": 1}}}}}}`)
}

func TestChangeLogNamesOperator(t *testing.T) {
	b := newTestAPI(t)
	b.expect(200, "", "POST", "/teams", `{"name": "cafe", "spec": {"rate": 1, "burst": 1}}`)
	b.c.Assert(b.log.String(), qt.Contains, "operator=ada")
	b.c.Assert(b.log.String(), qt.Contains, "event=admin_change")
	b.c.Assert(strings.Contains(b.log.String(), "secret-a"), qt.IsFalse)
}
