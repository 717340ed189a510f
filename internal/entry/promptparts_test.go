package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/mesh"
	"github.com/masticscale/masticscale/internal/quarantine"
)

const (
	toleratedPartCrashes = 5 // under requests with one part, before late sends count
	firstPart            = "a0"
	guiltyPart           = "bad0"
	soundPeriod          = 60 * time.Millisecond
)

// guiltyRequests are requests of which no two are alike, and that crash upstreams because of
// one part of their prompts.
type guiltyRequests struct {
	name    string // start of their bodies, after poisonBody
	period  time.Duration
	parts   func(n int) []string
	sound   bool          // requests with the guilty part are answered before the first of these
	leaveIn time.Duration // after which every second caller leaves; zero if all stay
	times   int
}

// sendParts sends the requests while sound ones run that share their first part and their
// team. It returns the shares of the sound ones that were served before the guilty ones began
// and from two contactTimes after that, and how many of the latter were refused as ones that
// crash upstreams.
func (f *crashFleet) sendParts(all ...guiltyRequests) (before, after float64, refused int) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	served, sent := [3]int{}, [3]int{} // before, shortly after, later
	stop := make(chan struct{})
	started := time.Now()
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundPeriod):
			}
			phase := 0
			switch since := time.Since(started); {
			case since > 3*contactTime:
				phase = 2
			case since > contactTime-2*runTime:
				phase = 1
			}
			calls.Go(func() {
				parts := []string{firstPart, fmt.Sprint("50", n%20)}
				if phase == 0 && n%5 == 0 && all[0].sound {
					parts[1] = guiltyPart
				}
				err := f.serveParts(f.ctx, n, "/once/x", fmt.Sprint("prompt ", n), parts...)
				mu.Lock()
				defer mu.Unlock()
				sent[phase]++
				if err == nil {
					served[phase]++
				}
				if phase == 2 && apierr.IsKind(err, apierr.Quarantined) {
					refused++
				}
			})
		}
	})
	f.sleep(contactTime)
	var senders sync.WaitGroup
	for _, g := range all {
		senders.Go(func() { f.sendGuilty(g, &calls) })
	}
	senders.Wait()
	close(stop)
	calls.Wait()
	return float64(served[0]) / float64(sent[0]), float64(served[2]) / float64(sent[2]), refused
}

func (f *crashFleet) sendGuilty(g guiltyRequests, calls *sync.WaitGroup) {
	for n := range g.times {
		calls.Go(func() {
			ctx, cancel := context.WithCancel(f.ctx)
			if g.leaveIn > 0 && n%2 == 1 {
				ctx, cancel = context.WithTimeout(f.ctx, g.leaveIn)
			}
			defer cancel()
			_ = f.serveParts(ctx, n, "/safe/x", fmt.Sprint(poisonBody, g.name, n), g.parts(n)...) // ends in an error
		})
		f.sleep(g.period)
	}
}

func inTheMiddle(n int) []string { return []string{firstPart, guiltyPart, fmt.Sprint("70", n)} }

// TestPromptPartCrashesOneUpstreamAfterTheOther guards against requests that are all sent on
// because no two are alike, though one part of their prompts crashes each upstream that runs
// it. Sound requests that share another part must be served.
func TestPromptPartCrashesOneUpstreamAfterTheOther(t *testing.T) {
	for _, tc := range []struct {
		name     string
		guilty   []guiltyRequests
		restarts bool // of the hosts, one after the other
	}{
		{"middle", []guiltyRequests{{period: 200 * time.Millisecond, parts: inTheMiddle, times: 200}}, false},
		{"last shared", []guiltyRequests{{period: 500 * time.Millisecond, parts: func(int) []string { return []string{firstPart, guiltyPart} }, times: 80}}, false},
		{"first", []guiltyRequests{{period: 200 * time.Millisecond, parts: func(n int) []string { return []string{guiltyPart, fmt.Sprint("50", n%20)} }, times: 200}}, false},
		{"rare", []guiltyRequests{{period: 1500 * time.Millisecond, parts: inTheMiddle, times: 60}}, false},
		{"callers leave", []guiltyRequests{{period: 200 * time.Millisecond, parts: inTheMiddle, leaveIn: 25 * time.Millisecond, times: 200}}, false},
		{"answered before", []guiltyRequests{{period: 200 * time.Millisecond, parts: inTheMiddle, sound: true, times: 200}}, false},
		{"many at once", []guiltyRequests{{period: 20 * time.Millisecond, parts: inTheMiddle, times: 2000}}, false},
		{"hosts restart", []guiltyRequests{{period: 200 * time.Millisecond, parts: inTheMiddle, times: 200}}, true},
		{"two", []guiltyRequests{
			{name: "-a", period: 300 * time.Millisecond, parts: inTheMiddle, times: 130},
			{name: "-b", period: 300 * time.Millisecond, parts: func(n int) []string { return []string{firstPart, fmt.Sprint("70", n), "bad1"} }, times: 130},
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCrashFleet(t, 3, 30, func(c *qt.C, f *crashFleet) {
				if tc.restarts {
					f.wg.Go(f.restartHostsInTurn)
				}
				before, served, refused := f.sendParts(tc.guilty...)
				for _, g := range tc.guilty {
					late := f.lateSendsAfter(toleratedPartCrashes, func(body string) bool { return strings.HasPrefix(body, poisonBody+g.name) })
					c.Check(late <= allowedLateSends, qt.IsTrue, qt.Commentf("%d late sends of %q", late, g.name))
				}
				crashes, sends := f.counts()
				c.Check(served >= before/2, qt.IsTrue, qt.Commentf("%.2f of the sound requests served, %.2f before", served, before))
				c.Check(refused, qt.Equals, 0, qt.Commentf("sound requests refused as ones that crash upstreams"))
				c.Logf("%d sends crashed %d upstreams; %.3f of the sound requests served", sends, crashes, served)
			})
		})
	}
}

func (f *crashFleet) restartHostsInTurn() {
	f.sleep(15 * time.Second)
	for n := range f.hosts {
		f.startHost(n)
		f.sleep(3 * time.Second)
	}
}

// TestResponseThatEndsWithItsUpstreamClearsTheRequest guards against requests that crash one
// upstream after the other because their responses, which neither a length nor chunks delimit,
// are taken for complete when the upstream ends.
func TestResponseThatEndsWithItsUpstreamClearsTheRequest(t *testing.T) {
	for name, send := range map[string]func(f *crashFleet, n int){
		"one content": func(f *crashFleet, n int) { _ = f.serve(n, "/safe/x", poisonBody) },
		"one part": func(f *crashFleet, n int) {
			_ = f.serveParts(f.ctx, n, "/safe/x", fmt.Sprint(poisonBody, n), inTheMiddle(n)...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashFleet(t, 3, 15, func(c *qt.C, f *crashFleet) {
				f.undelimited = true
				refused := f.sendBesideInnocents(60, time.Second, func(n int) { send(f, n) })
				late := f.lateSendsAfter(toleratedPartCrashes, func(body string) bool { return strings.HasPrefix(body, poisonBody) })
				crashes, sends := f.counts()
				c.Check(late <= allowedLateSends, qt.IsTrue, qt.Commentf("%d late sends; %d sends crashed %d upstreams", late, sends, crashes))
				c.Check(refused, qt.Equals, 0, qt.Commentf("innocent requests refused"))
			})
		})
	}
}

// TestUndelimitedResponsesClearInnocentRequests guards against a request that many callers
// send and that is refused beside one that crashes upstreams, because the end of a response
// that nothing delimits never counts as complete.
func TestUndelimitedResponsesClearInnocentRequests(t *testing.T) {
	runCrashFleet(t, 3, 6, func(c *qt.C, f *crashFleet) {
		f.undelimitedAnswers = true
		refused := f.sendBesideInnocents(30, 500*time.Millisecond, func(n int) {
			_ = f.serve(n, "/safe/x", fmt.Sprint(poisonBody, n/6)) // five contents, each sent six times
		})
		c.Check(refused, qt.Equals, 0)
	})
}

// TestQueuedRequestsWithAQuarantinedPartWait guards against requests that wait for a slot until
// their time is up, though a part of their prompts was quarantined meanwhile.
func TestQueuedRequestsWithAQuarantinedPartWait(t *testing.T) {
	runCrashFleet(t, 2, 2, func(c *qt.C, f *crashFleet) {
		var calls sync.WaitGroup
		for n := range 16 { // all slots
			calls.Go(func() { _ = f.serve(0, "/once/x", fmt.Sprint(longBody, n)) })
		}
		time.Sleep(2 * gossipPeriod)
		began := time.Now()
		calls.Go(func() {
			err := f.serveParts(f.ctx, 0, "/safe/x", "prompt", firstPart, guiltyPart)
			c.Check(apierr.IsKind(err, apierr.Quarantined), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(apierr.From(err).Execution, qt.Equals, apierr.NotRun)
			c.Check(time.Since(began) < 10*gossipPeriod, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
		})
		time.Sleep(2 * gossipPeriod)
		quarantinePart(f.hosts[0], guiltyPart, time.Now())
		calls.Wait()
	})
}

// TestEachHostTriesAQuarantinedPart guards against trials of a part that many hosts begin at
// the same time, or each for itself.
func TestEachHostTriesAQuarantinedPart(t *testing.T) {
	for _, sound := range []bool{false, true} {
		t.Run(fmt.Sprint("answered before ", sound), func(t *testing.T) {
			runCrashFleet(t, 5, 30, func(c *qt.C, f *crashFleet) {
				_, _, refused := f.sendParts(guiltyRequests{period: 200 * time.Millisecond, parts: inTheMiddle, sound: sound, times: 350})
				late := f.lateSendsAfter(toleratedPartCrashes, func(body string) bool { return strings.HasPrefix(body, poisonBody) })
				crashes, sends := f.counts()
				c.Check(late <= allowedLateSends, qt.IsTrue, qt.Commentf("%d late sends; %d sends crashed %d upstreams", late, sends, crashes))
				c.Check(refused, qt.Equals, 0)
				c.Logf("%d sends crashed %d upstreams, %d of them late", sends, crashes, late)
			})
		})
	}
}

// TestTrialOfAPartIsRejectedWhileItWaits guards against a part that stays quarantined because
// the request that is to try it again waits for a slot.
func TestTrialOfAPartIsRejectedWhileItWaits(t *testing.T) {
	runCrashFleet(t, 1, 2, func(c *qt.C, f *crashFleet) {
		quarantinePart(f.hosts[0], guiltyPart, time.Now().Add(-9*time.Second))
		var calls sync.WaitGroup
		for n := range 16 { // all slots
			calls.Go(func() { _ = f.serve(0, "/once/x", fmt.Sprint("fill ", n)) })
		}
		time.Sleep(runTime / 2)
		calls.Go(func() {
			c.Check(f.serveParts(f.ctx, 0, "/safe/x", "prompt", firstPart, guiltyPart), qt.IsNil)
		})
		time.Sleep(gossipPeriod)
		quarantinePart(f.hosts[0], "other", time.Now())
		calls.Wait()
		c.Check(f.serveParts(f.ctx, 0, "/safe/x", "another", firstPart, guiltyPart), qt.IsNil)
	})
}

// TestTwoGuiltyContentsHaveAPartRefused guards against sound requests that are refused for a
// part of their prompts because two requests with it crash upstreams by their contents.
func TestTwoGuiltyContentsHaveAPartRefused(t *testing.T) {
	runCrashFleet(t, 3, 15, func(c *qt.C, f *crashFleet) {
		for n := range 12 {
			part := []string{"rare", "other"}[n/2%2]
			_ = f.serveParts(f.ctx, n, "/once/x", fmt.Sprint(poisonBody, n%2), firstPart, part) // crashes its upstream
			c.Check(f.serveParts(f.ctx, n, "/safe/x", fmt.Sprint("prompt ", n), firstPart), qt.IsNil)
		}
		crashes, _ := f.counts()
		c.Check(crashes >= 6, qt.IsTrue, qt.Commentf("%d crashes", crashes))
		for n, part := range []string{"rare", "other"} {
			c.Check(f.serveParts(f.ctx, n, "/safe/x", fmt.Sprint("another ", n), firstPart, part), qt.IsNil)
		}
	})
}

// TestGuiltyContentTriesAQuarantinedPart guards against a sound part that stays quarantined
// because a request that crashes upstreams by its content takes its trial.
func TestGuiltyContentTriesAQuarantinedPart(t *testing.T) {
	runCrashFleet(t, 1, 15, func(c *qt.C, f *crashFleet) {
		for range 2 {
			_ = f.serveParts(f.ctx, 0, "/once/x", poisonBody, firstPart) // crashes its upstream
			f.sleep(runTime)
		}
		quarantinePart(f.hosts[0], "sound", time.Now().Add(-time.Minute))
		err := f.serveParts(f.ctx, 0, "/once/x", poisonBody, "sound")
		c.Check(apierr.IsKind(err, apierr.Quarantined), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(f.serveParts(f.ctx, 0, "/safe/x", "prompt", "sound"), qt.IsNil)
		crashes, _ := f.counts()
		c.Check(crashes, qt.Equals, 2)
	})
}

// quarantinePart has the host hear of upstreams that ended under requests with the part, the
// last one at the given time.
func quarantinePart(h *crashHost, part string, last time.Time) {
	peer := mesh.State{Host: "h9", Incarnation: "i"}
	for n := range 3 {
		crashed := last.Add(time.Duration(n-2) * time.Second)
		peer.PartCrashes = append(peer.PartCrashes, quarantine.PartCrash{
			Part: part, Upstream: quarantine.Instance{ID: fmt.Sprint("gone ", part, n)}, At: crashed, Sent: crashed.Add(-runTime),
			Contents: []quarantine.Fingerprint{{byte(n)}}, Teams: []string{"cafe"},
		})
	}
	h.core.MergeState(peer)
}
