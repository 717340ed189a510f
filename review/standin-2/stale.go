package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stale"] = staleCase }

type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads a job's results from a position on.
func (b *bench) read(h *host, id, key string, after int, wait time.Duration) (page, int) {
	header := map[string]string{"Api-Key": key}
	if wait > 0 {
		header[wire["wait"]] = fmt.Sprint(wait.Milliseconds())
	}
	a := h.call(4*time.Second, http.MethodGet, fmt.Sprintf("%s%s?after=%d", wire["results path"], id, after), "", header)
	var p page
	if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &p) != nil {
		return p, 0
	}
	return p, a.status
}

// cutOff cuts a host off from the other hosts and from the store, or ends that.
func (b *bench) cutOff(h *host, cut bool) {
	b.net.setCut(h.name, cut)
	b.rec.note("#", fmt.Sprintf("%s cut off: %t", h.name, cut))
	if !cut {
		b.store.setFault(nil)
		return
	}
	b.store.setFault(func(host string, _ *http.Request) storeFault {
		if host == h.name {
			return silentCall
		}
		return serveCall
	})
}

// staleCase: the host that runs jobs is cut off for a while, and another one takes them over.
// Clients read at the hosts that are in touch.
func staleCase(b *bench) bool {
	t := tenant{name: "kaje80", key: "i9n73hh2b9wu3fexd9dn"}
	b.startFleet(6, 6, site{version: 7, tenants: []tenant{t}}, func(*http.Request) plan {
		return plan{status: http.StatusOK, first: 50 * time.Millisecond, events: 60, pause: 25 * time.Millisecond}
	})
	positions, broken := 0, 0
	for round := range 3 {
		n, nothing := b.cutOwner(round, t)
		positions, broken = positions+n, broken+nothing
	}
	b.rec.say("%d positions read; %d answers of hosts in touch had nothing at a position that was read over a second before", positions, broken)
	return broken == 0
}

const cutTime = 12 * time.Second

// cutOwner hands in jobs at a host, cuts it off for a while and reads the jobs at the others. It
// returns the number of positions that were read, and of answers that had nothing at one.
func (b *bench) cutOwner(round int, t tenant) (int, int) {
	owner := b.hosts[round]
	var jobs []*job
	for n := range 6 {
		j := newJob(fmt.Sprintf("%c%03d", 'a'+round, n), t.key, 20, 600)
		if b.submit(owner, j) != http.StatusAccepted {
			panic(cannotRun{"a job isn't accepted"})
		}
		jobs = append(jobs, j)
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		b.cutOff(owner, true)
	}
	reader := &reader{b: b, jobs: jobs, readAt: map[position]time.Time{}}
	var readers sync.WaitGroup
	end := time.Now().Add(cutTime + 3*time.Second)
	for _, h := range b.hosts {
		if h == owner {
			continue
		}
		for k := range 4 {
			readers.Go(func() {
				for x := k; time.Now().Before(end); x++ {
					reader.read(h, jobs[x%len(jobs)], x%4 > 0)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(cutTime)
	if b.trouble {
		b.cutOff(owner, false)
	}
	readers.Wait()
	return len(reader.readAt), reader.broken
}

// position is one of the results of a job.
type position struct {
	job string
	n   int
}

// reader judges the rule on positions, from what clients have read.
type reader struct {
	b      *bench
	jobs   []*job
	mu     sync.Mutex
	readAt map[position]time.Time // when it was first read
	broken int
}

// read reads a job at a host from the first position on that wasn't read yet, or from one before.
func (r *reader) read(h *host, j *job, again bool) {
	r.mu.Lock()
	after := 0
	for !r.readAt[position{j.id, after}].IsZero() {
		after++
	}
	if again && after > 0 {
		after--
	}
	known := r.readAt[position{j.id, after}]
	r.mu.Unlock()
	sent := time.Now()
	p, status := r.b.read(h, j.id, j.key, after, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	hasNothing := status == http.StatusOK && len(p.Results) == 0 && !known.IsZero() && sent.Sub(known) > settleTime
	if hasNothing || status == http.StatusNotFound || status == http.StatusGone {
		r.broken++
		r.b.rec.note("nothing", j.id, "at", h.name, "position", fmt.Sprint(after), "status", fmt.Sprint(status), "read_ms_before", fmt.Sprint(sent.Sub(known).Milliseconds()))
	}
	for k := range p.Results {
		if at := (position{j.id, after + k}); r.readAt[at].IsZero() {
			r.readAt[at] = time.Now()
			r.b.rec.note("read", j.id, "at", h.name, "position", fmt.Sprint(after+k), "item", p.Results[k].ID)
		}
	}
}

const settleTime = time.Second // settle_ms
