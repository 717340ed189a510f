package catalog

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/masticscale/masticscale/internal/bubbletest"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/key"
	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/team"
)

// history is a reference model of a key store that retains every state.
type history struct {
	states []map[string]objstore.Object // by version
	events []objstore.Event
}

func (h *history) write(name string, spec *key.Spec) {
	version := int64(len(h.states))
	next := maps.Clone(h.states[version-1])
	o := objstore.Object{Kind: objstore.KindKey, Name: name, Version: version}
	e := objstore.Event{Type: objstore.EventDelete, Object: o}
	if spec == nil {
		delete(next, name)
	} else {
		o.Value, _ = json.Marshal(spec)
		e = objstore.Event{Type: objstore.EventPut, Object: o}
		next[name] = o
	}
	h.states = append(h.states, next)
	h.events = append(h.events, e)
}

func (h *history) list(version int64) []objstore.Object {
	return slices.Collect(maps.Values(h.states[version]))
}

func (h *history) latest() int64 { return int64(len(h.states)) - 1 }

// TestCatalogMatchesStoreAndNeverReverts delivers lists of any age, events in order
// from any position, states of other hosts and relayed withdrawals, and compares
// each host with the store.
func TestCatalogMatchesStoreAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &history{states: []map[string]objstore.Object{{}}}
		hosts := []*Catalog{New(), New(), New()}
		names := []string{"a", "b", "c"}
		withdrawn := map[key.ID]bool{}
		revisions := make([]int64, len(hosts))
		pick := func(label string) int { return rapid.IntRange(0, len(hosts)-1).Draw(t, label) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host := hosts[pick("host")]
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0:
				store.write(name, &key.Spec{Team: "forecourt", Withdrawn: withdrawnAt(withdrawn[key.ID(name)])})
			case 1:
				withdrawn[key.ID(name)] = true
				store.write(name, &key.Spec{Team: "forecourt", Withdrawn: withdrawnAt(true)})
				host.Withdraw(Withdrawal{ID: key.ID(name)})
			case 2:
				version := rapid.Int64Range(0, store.latest()).Draw(t, "list")
				host.replaceKind(objstore.KindKey, store.list(version), version, func(error) {})
			case 3:
				for _, e := range store.events[host.completeVersion(objstore.KindKey):] {
					host.applyEvent(objstore.KindKey, e, func(error) {})
				}
			case 4:
				host.mergeState(hosts[pick("peer")].Export(time.Now()))
			case 5:
				host.ApplyConfig(rapid.Int64Range(0, 9).Draw(t, "revision"), config.Fleet{})
			case 6:
				store.write(name, nil)
			}
			for i, h := range hosts {
				checkNeverReverts(t, store, h, withdrawn, &revisions[i])
			}
		}
	})
}

func withdrawnAt(withdrawn bool) *time.Time {
	if !withdrawn {
		return nil
	}
	return &time.Time{}
}

// checkNeverReverts compares a host's keys with the store's state at the version
// that the host reports as complete.
func checkNeverReverts(t *rapid.T, store *history, h *Catalog, withdrawn map[key.ID]bool, revision *int64) {
	s := h.Current()
	if s.Revision < *revision {
		t.Fatalf("revision fell from %d to %d", *revision, s.Revision)
	}
	*revision = s.Revision
	want := store.states[h.completeVersion(objstore.KindKey)]
	if len(want) != len(s.Keys) {
		t.Fatalf("%d keys, want %d", len(s.Keys), len(want))
	}
	for id, spec := range s.Keys {
		if h.IsWithdrawn(id) && spec.Active() {
			t.Fatalf("key %s is active although the host knows it to be withdrawn", id)
		}
		var stored key.Spec
		_ = want[string(id)].Decode(&stored)
		if !stored.Active() && spec.Active() {
			t.Fatalf("key %s is active although the store's state says otherwise", id)
		}
	}
}

func TestCheckpointIsConfirmedOnlyWhenReached(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	var f freshness
	c.Assert(f.age(start), qt.Equals, unknownAge)
	f.record(Checkpoint{Version: 10, At: start})
	f.confirmUpTo(9)
	c.Assert(f.age(start.Add(time.Second)), qt.Equals, unknownAge)
	f.record(Checkpoint{Version: 10, At: start.Add(2 * time.Second)})
	c.Assert(f.lag(start.Add(3*time.Second)), qt.Equals, 3*time.Second)
	f.confirmUpTo(10)
	c.Assert(f.age(start.Add(3*time.Second)), qt.Equals, time.Second)
	c.Assert(f.lag(start.Add(time.Hour)), qt.Equals, time.Duration(0))
	// An older checkpoint from a slow peer does not change the age.
	f.record(Checkpoint{Version: 9, At: start})
	f.confirmUpTo(10)
	c.Assert(f.age(start.Add(3*time.Second)), qt.Equals, time.Second)
}

func TestPendingCheckpointsAreBounded(t *testing.T) {
	c := qt.New(t)
	var f freshness
	start := time.Now()
	for i := range 10 * maxPendingCheckpoints {
		f.record(Checkpoint{Version: int64(i + 1), At: start.Add(time.Duration(i) * time.Second)})
	}
	c.Assert(len(f.pending), qt.Equals, maxPendingCheckpoints)
	c.Assert(f.pending[0].Version, qt.Equals, int64(1))
}

func TestRequestsWaitWhileHostCatchesUp(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		cat := New()
		release := cat.catchUpGate.close()
		second := cat.catchUpGate.close()
		start := time.Now()
		c.Assert(cat.CheckFreshness(context.Background()), qt.ErrorMatches, ".*catching up.*")
		c.Assert(time.Since(start), qt.Equals, catchUpTimeout)
		time.AfterFunc(catchUpTimeout/4, release)
		time.AfterFunc(catchUpTimeout/2, second)
		start = time.Now()
		c.Assert(cat.CheckFreshness(context.Background()), qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, catchUpTimeout/2)
	})
}

func TestRequestsAreRejectedWhenStateIsTooOld(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := qt.New(t)
		cat := New()
		cat.ApplyConfig(1, config.Fleet{Limits: config.Limits{MaxKnowledgeAgeSeconds: 30}})
		c.Assert(cat.CheckFreshness(context.Background()), qt.ErrorMatches, ".*out of touch.*")
		cat.RecordCheckpoint(Checkpoint{Version: 0, At: time.Now()})
		c.Assert(cat.CheckFreshness(context.Background()), qt.IsNil)
		time.Sleep(31 * time.Second)
		c.Assert(cat.CheckFreshness(context.Background()), qt.ErrorMatches, ".*out of touch.*")
	})
}

func TestStateFileRoundTripAndDamage(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	stateFile, err := NewStateFile(dir)
	c.Assert(err, qt.IsNil)
	none, err := stateFile.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(none, qt.IsNil)
	before := New()
	before.UpdateObjects(func(p *ObjectSpecs) { p.Teams["forecourt"] = team.Spec{Rate: 1, Burst: 1} })
	before.Withdraw(Withdrawal{ID: "k", At: time.Unix(1, 0).UTC()})
	c.Assert(stateFile.Save(before.Export(time.Now())), qt.IsNil)
	state, err := stateFile.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(state.Objects.Teams["forecourt"].Burst, qt.Equals, 1)
	c.Assert(state.Withdrawn["k"].At, qt.Equals, time.Unix(1, 0).UTC())

	path := filepath.Join(dir, stateFileName)
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for cut := range len(text) {
		c.Assert(os.WriteFile(path, text[:cut], 0o600), qt.IsNil)
		_, err = stateFile.Load()
		c.Assert(err, qt.ErrorMatches, ".*damaged.*")
	}
}

func TestEqualDigestConfirmsState(t *testing.T) {
	c := qt.New(t)
	connected, partitioned := New(), New()
	objects := []objstore.Object{{Kind: objstore.KindTeam, Name: "a", Version: 3, Value: []byte(`{}`)}}
	for _, kind := range watchedKinds {
		connected.replaceKind(kind, nil, 5, func(error) {})
	}
	connected.replaceKind(objstore.KindTeam, objects, 9, func(error) {})
	connected.RecordCheckpoint(Checkpoint{Version: 5, At: time.Now()})
	partitioned.mergeDigest(connected.digest(time.Now()), time.Now())
	c.Assert(partitioned.Age(time.Now()), qt.Equals, unknownAge)
	partitioned.mergeState(connected.Export(time.Now()))
	partitioned.mergeDigest(connected.digest(time.Now()), time.Now())
	c.Assert(partitioned.Age(time.Now()) < time.Minute, qt.IsTrue)
}
