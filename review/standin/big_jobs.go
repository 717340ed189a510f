package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["big-jobs"] = bigJobs }

const (
	jobCount    = 14
	smallMemory = 134 // MB of a host, as on the second site

	jobItems     = 200
	itemPad      = 11500 // bytes of an item's body
	streamCount  = 6
	streamEvents = 80
	streamPause  = 50 // ms
)

// bigJobs hands in several long batch jobs at once at a host that relays streams. Like the
// platform, it kills a host that uses more than its memory.
func bigJobs(f *fleet, trouble bool) (bool, error) {
	hostMemory = smallMemory
	if err := f.writeConfig(); err != nil {
		return false, err
	}
	for range 6 {
		if err := f.startWorker(); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var limits, streams, jobs sync.WaitGroup
	for _, h := range f.hosts {
		limits.Go(func() { f.enforceMemory(h, stop) })
	}
	var cut atomic.Int64
	for range streamCount {
		streams.Go(func() {
			if f.keptStreams(f.hosts[0]) {
				cut.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	for range jobCount {
		jobs.Go(func() {
			job, items := newID(), []batchItem(nil)
			for range jobItems {
				items = append(items, newItem("5c1e07a2", work{Events: 2, PauseMS: 5, Pad: strings.Repeat("x", itemPad)}))
			}
			f.note("job %s of %d items: %s", job, len(items), submit(f.hosts[0], job, items, 4*time.Second))
		})
		if !trouble {
			jobs.Wait()
		}
	}
	jobs.Wait()
	streams.Wait()
	close(stop)
	limits.Wait()
	f.note("%d of %d channels were closed without a complete answer", cut.Load(), streamCount)
	return cut.Load() > 3, nil
}

// keptStreams sends two requests on one channel. It reports whether the channel ended without a
// complete answer to the second one, which a worker ran.
func (f *fleet) keptStreams(h *host) bool {
	channels := 0
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		channels++
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DialContext: dial}}
	defer c.CloseIdleConnections()
	for n, events := range []int{2, streamEvents} {
		id := newID()
		body, _ := json.Marshal(work{Events: events, PauseMS: streamPause})
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/reply/"+id[:4], bytes.NewReader(body))
		if err != nil {
			return false
		}
		req.Host = domain
		for name, value := range map[string]string{"Api-Key": key, "X-Attempt-Id": id, "X-Model": "m", "X-Token-Count": "450,60", "X-Prompt-Prefix": "91bd3f06:200," + id[:8] + ":250", "X-Deadline-Ms": "5000"} {
			req.Header.Set(name, value)
		}
		var a answer
		if resp, err := c.Do(req); err != nil {
			a.err = err
		} else {
			raw, err := io.ReadAll(resp.Body)
			a = answer{status: resp.StatusCode, body: string(raw), err: err}
			_ = resp.Body.Close()
		}
		kept := n > 0 && channels == 1
		f.note("request %s, on a kept channel: %t: %s", id, kept, a)
		if n > 0 {
			return kept && !a.isWholeStream(id, events) && strings.Contains(a.body, eventData(id, 1))
		}
	}
	return false
}

// enforceMemory kills the host when it uses more memory than its settings allow.
func (f *fleet) enforceMemory(h *host, stop <-chan struct{}) {
	peak := 0
	defer func() { f.note("peak memory of %s: %d MB of %d", h.name, peak>>10, smallMemory) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, residentKB(h.cmd.Process.Pid))
		if peak > smallMemory<<10 {
			h.signal(syscall.SIGKILL)
			f.note("%s uses %d MB, more than its memory_mb of %d, and is killed", h.name, peak>>10, smallMemory)
			return
		}
	}
}

// residentKB returns the private memory of a process, without its program.
func residentKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
