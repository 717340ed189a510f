package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["ended-job"] = endedJob }

const (
	cutHost     = 4
	cutTime     = 12 * time.Second        // as the longest node_cut of the site
	outageLead  = 1500 * time.Millisecond // from the begin of the store's outage to the end of the cut
	outageTime  = 6 * time.Second         // its longest platform_down has 6.3 s
	cancelBound = 3 * time.Second         // cancel_ms
	contact     = 3 * time.Second         // contact_ms
	watchTime   = 12 * time.Second
)

// endedJob ends a batch job while the host that runs it is cut off from the other hosts and from
// the store. The host that acknowledged the end is restarted meanwhile, and the store is down when
// the cut heals.
func endedJob(f *fleet, trouble bool) (bool, error) {
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range 2 {
		if err := f.startWorker(); err != nil {
			return false, err
		}
	}
	c := &cut{conns: map[*proxied]bool{}, pid: func() int {
		if len(f.hosts) <= cutHost {
			return 0
		}
		return f.hosts[cutHost].cmd.Process.Pid
	}}
	f.change = func(n int, settings map[string]any) error {
		listen := settings["listen"].(map[string]any)
		at, err := c.proxy(listen["peers"].(string), n == cutHost)
		if err != nil {
			return err
		}
		listen["peers_at"], settings["seeds"] = at, []string{}
		if n == cutHost {
			settings["store"], err = c.proxy(f.store, true)
		}
		return err
	}
	if err := f.startHosts(5); err != nil {
		return false, err
	}
	owner, other := f.hosts[cutHost], f.hosts[0]
	time.Sleep(5 * time.Second)
	c.set(true) // channels that were opened before their owner was known
	time.Sleep(100 * time.Millisecond)
	c.set(false)
	time.Sleep(4 * time.Second)
	job := newID()
	var items []batchItem
	for range 200 {
		items = append(items, newItem("5c1e07a2", work{Events: 60, PauseMS: 60}))
	}
	a := submit(owner, job, items, 4*time.Second)
	f.note("job %s of %d items at %s: %s", job, len(items), owner.name, a)
	if a.status != 202 {
		return false, fmt.Errorf("%w: the job wasn't accepted", errNotRun)
	}
	time.Sleep(time.Second)
	cutAt := time.Now()
	if trouble {
		c.set(true)
		f.note("%s is cut off from the other hosts and the store", owner.name)
	}
	time.Sleep(1500 * time.Millisecond)
	end := call(http.MethodDelete, fmt.Sprintf("http://%s%s%s", other.callers, wire["results path"], job), "", nil, nil, 4*time.Second)
	acked := time.Now()
	f.note("end of job %s at %s: %s", job, other.name, end)
	if end.err != nil || end.status != http.StatusOK {
		return false, fmt.Errorf("%w: the end wasn't acknowledged", errNotRun)
	}
	other.signal(syscall.SIGTERM)
	f.note("planned work: %s gets SIGTERM and starts again", other.name)
	if err := f.restart(other); err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutAt.Add(cutTime - outageLead)))
	if trouble {
		f.setStore(`{"down": true}`)
		f.note("the store is down")
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		c.set(false)
		f.note("the cut has healed")
	}
	time.Sleep(time.Until(cutAt.Add(cutTime - outageLead + outageTime)))
	stable := time.Now()
	if trouble {
		f.setStore(`{"down": false}`)
		f.note("the store is back")
	}
	time.Sleep(contact + watchTime)
	return f.unaskedRuns(items, acked.Add(cancelBound), stable.Add(contact)), nil
}

// unaskedRuns checks the rule UNASKED for the items of a job that was ended.
func (f *fleet) unaskedRuns(items []batchItem, bound, inTouch time.Time) bool {
	late, afterAck := 0, 0
	for _, r := range f.runs() {
		at := time.UnixMilli(r.At)
		if r.What != "begin" || !slices.ContainsFunc(items, func(i batchItem) bool { return i.ID == r.Request }) {
			continue
		}
		if at.After(bound) {
			afterAck++
		}
		if at.After(bound) && at.After(inTouch) {
			if late++; late <= 10 {
				f.note("worker %s began to run item %s, %.1f s after cancel_ms had passed and %.1f s after the host was in touch again", r.Worker, r.Request, at.Sub(bound).Seconds(), at.Sub(inTouch).Seconds())
			}
		}
	}
	f.note("runs of items of the ended job that began later than cancel_ms after the ack: %d, of these %d from the host while it was in touch", afterAck, late)
	return late > 0
}

// setStore sets the faults of the stand-in of the platform's store.
func (f *fleet) setStore(faults string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.store+"/control/faults", bytes.NewReader([]byte(faults)))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
