package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/jobs"
)

// startHosts starts hosts h1, h2 and so on, which are all registered.
func startHosts(w *cluster, count int) []*host {
	var hosts []*host
	for n := range count {
		hosts = append(hosts, w.start(fmt.Sprint("h", n+1)))
	}
	w.register(hosts...)
	time.Sleep(time.Second)
	return hosts
}

// register has the hosts hear that these and no others are registered.
func (w *cluster) register(hosts ...*host) {
	members := map[string]entry.HostInfo{}
	for _, h := range hosts {
		members[h.name] = entry.HostInfo{Address: h.name, DataCentre: "dc"}
	}
	for _, h := range hosts {
		h.core.SetMembers(members, 1)
	}
}

// submitAtEach submits a job with the number of items through each host.
func submitAtEach(c *qt.C, hosts []*host, items int) []jobs.Submission {
	var submitted []jobs.Submission
	for _, h := range hosts {
		s := submission("job-of-"+h.name, items)
		for n := range s.Items {
			s.Items[n].Tokens = 0 // the team's limit doesn't count
		}
		c.Assert(h.runner.Submit(background, s), qt.IsNil)
		submitted = append(submitted, s)
	}
	return submitted
}

// responsibleFor returns the host that is to take over the jobs of another one.
func responsibleFor(lost *host, hosts []*host) *host {
	var names []string
	for _, h := range hosts {
		if h != lost {
			names = append(names, h.name)
		}
	}
	name := entry.RendezvousHost(lost.name, names)
	return hosts[slices.IndexFunc(hosts, func(h *host) bool { return h.name == name })]
}

// TestJobsOfManyLostHostsWait guards against accepted jobs that no host runs within the time that
// callers allow after the last loss, because too many hosts are lost.
func TestJobsOfManyLostHostsWait(t *testing.T) {
	for name, lose := range map[string]func(w *cluster, hosts []*host) (survivors []*host){
		"one":  func(_ *cluster, hosts []*host) []*host { return killAll(hosts, 1) },
		"half": func(_ *cluster, hosts []*host) []*host { return killAll(hosts, 4) },
		"most": func(_ *cluster, hosts []*host) []*host { return killAll(hosts, 7) },
		"in steps": func(_ *cluster, hosts []*host) []*host {
			for n := range 6 {
				hosts[n].kill()
				time.Sleep(1500 * time.Millisecond)
			}
			return hosts[6:]
		},
		"half, and the store is slow": func(_ *cluster, hosts []*host) []*host {
			for _, h := range hosts {
				h.store.SetLatency(200 * time.Millisecond)
			}
			return killAll(hosts, 4)
		},
		"all others are restarted": func(w *cluster, hosts []*host) []*host {
			hosts[0].kill()
			for n := 1; n < len(hosts); n++ {
				hosts[n].kill()
				time.Sleep(500 * time.Millisecond)
				hosts[n] = w.start(hosts[n].name)
				w.register(hosts...)
			}
			return hosts[1:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, func(c *qt.C, w *cluster) {
				hosts := startHosts(w, 8)
				submitted := submitAtEach(c, hosts, 4)
				time.Sleep(500 * time.Millisecond)
				survivors := lose(w, hosts)
				time.Sleep(finishTime)
				for _, s := range submitted {
					w.checkResults(survivors[0], s)
				}
			})
		})
	}
}

// killAll kills the first hosts and returns the others.
func killAll(hosts []*host, count int) []*host {
	for _, h := range hosts[:count] {
		h.kill()
	}
	return hosts[count:]
}

// TestTakeoverEndsWithTheResponsibleHost guards against jobs of a lost host that wait for the
// next regular search, because the host that is to take them over is lost or restarted itself,
// before, during or after the takeover.
func TestTakeoverEndsWithTheResponsibleHost(t *testing.T) {
	const hostCount = 8
	for _, restarted := range []bool{false, true} {
		for _, after := range []time.Duration{2500 * time.Millisecond, 4500 * time.Millisecond, 6 * time.Second, 7050 * time.Millisecond, 8 * time.Second} {
			for lost := range hostCount {
				t.Run(fmt.Sprintf("restarted %t after %v, of h%d", restarted, after, lost+1), func(t *testing.T) {
					runCluster(t, func(c *qt.C, w *cluster) {
						hosts := startHosts(w, hostCount)
						time.Sleep(5 * time.Second) // the first regular search comes before the takeover is due
						submitted := submitAtEach(c, hosts, 4)
						time.Sleep(500 * time.Millisecond)
						responsible := responsibleFor(hosts[lost], hosts)
						hosts[lost].kill()
						end := time.Now().Add(finishTime)
						time.Sleep(after)
						responsible.kill()
						if restarted {
							time.Sleep(time.Second)
							hosts[slices.Index(hosts, responsible)] = w.start(responsible.name)
							w.register(hosts...)
						}
						time.Sleep(time.Until(end))
						n := slices.IndexFunc(hosts, func(h *host) bool { return !h.killed })
						for _, s := range submitted {
							w.checkResults(hosts[n], s)
						}
					})
				})
			}
		}
	}
}

// upstreamOf returns an upstream that only the host uses.
func upstreamOf(h *host) []fleet.Upstream {
	return []fleet.Upstream{{ID: "u" + h.name, Service: "lm", Address: "u" + h.name, Slots: 8}}
}

// TestHostCutOffFromItsPeersRunsItemsTwice guards against hosts that take over jobs of hosts
// that run them and reach the store, because a cut keeps the hosts from hearing each other, or
// some from hearing the others.
func TestHostCutOffFromItsPeersRunsItemsTwice(t *testing.T) {
	side := func(sideOf func(n int) int) func(n int, h *host) {
		return func(n int, h *host) { h.setSide(sideOf(n)) }
	}
	deaf := func(isDeaf func(n int) bool) func(n int, h *host) {
		return func(n int, h *host) { h.setDeaf(isDeaf(n)) }
	}
	for name, cutOff := range map[string]func(n int, h *host){
		"one host":          side(func(n int) int { return min(n, 1) }),
		"two halves":        side(func(n int) int { return n % 2 }),
		"all from all":      side(func(n int) int { return n }),
		"half, and each":    side(func(n int) int { return max(n-2, 0) }),
		"one hears nobody":  deaf(func(n int) bool { return n == 0 }),
		"half hears nobody": deaf(func(n int) bool { return n%2 == 0 }),
	} {
		for _, cut := range []time.Duration{12 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(name, " for ", cut), func(t *testing.T) {
				runCluster(t, func(c *qt.C, w *cluster) {
					hosts := startHosts(w, 6)
					for _, h := range hosts {
						h.core.SetUpstreams(upstreamOf(h), 2) // no item runs twice for lack of slots
					}
					submitted := submitAtEach(c, hosts, 120)
					time.Sleep(500 * time.Millisecond)
					for n, h := range hosts {
						cutOff(n, h)
					}
					time.Sleep(cut)
					for _, h := range hosts {
						h.setSide(0)
						h.setDeaf(false)
					}
					time.Sleep(25 * time.Second)
					extra := 0
					for _, s := range submitted {
						_, results, err := hosts[0].read(s.ID)
						c.Check(err, qt.IsNil)
						c.Check(len(results) >= 100, qt.IsTrue, qt.Commentf("%d results", len(results)))
						for _, i := range s.Items {
							extra += max(w.engine.eventsOf(i.ID)-eventsPerItem, 0)
						}
					}
					c.Check(extra, qt.Equals, 0, qt.Commentf("%d events beyond those needed", extra))
				})
			})
		}
	}
}
