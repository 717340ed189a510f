package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow"] = slowCase }

// rssMB returns the resident memory of a host's process.
func (h *host) rssMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// readResults reads a job's results from the start, with a pause after each 4 KB.
func (b *bench) readResults(h *host, j *job, pause time.Duration, end time.Time) (length int) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { // windows and segments as on a network, not as on loopback
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	conn, err := d.Dial("tcp", h.callers)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET %s%s?after=0 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nConnection: close\r\n\r\n", wire["results path"], j.id, siteHost, j.key)
	buffer := make([]byte, 4<<10)
	for time.Now().Before(end) {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, err := conn.Read(buffer)
		length += n
		if err != nil {
			return length
		}
		time.Sleep(pause)
	}
	return length
}

const (
	slowMemoryMB = 144 // of the smallest edge machines on the sheet
	slowReaders  = 130 // clients that read at one host
)

// guardMemory ends a host's process when it uses more memory than the machine has, and starts it
// again, as the platform does. It counts the ends until the time.
func (b *bench) guardMemory(h *host, end time.Time) (ends, peak int) {
	for time.Now().Before(end) {
		rss := h.rssMB()
		peak = max(peak, rss)
		if rss > slowMemoryMB {
			ends++
			h.kill()
			b.rec.note("killed", h.name, "memory_mb", fmt.Sprint(rss), "limit_mb", fmt.Sprint(slowMemoryMB))
			time.Sleep(500 * time.Millisecond)
			h.start()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ends, peak
}

// slowCase: clients read a batch job's results slowly.
func slowCase(b *bench) bool {
	t := tenant{name: "kaje80", key: "i9n73hh2b9wu3fexd9dn"}
	b.memoryMB = slowMemoryMB
	b.startFleet(6, 9, site{version: 7, tenants: []tenant{t}}, func(*http.Request) plan {
		return plan{status: http.StatusOK, first: 20 * time.Millisecond, events: 253, pause: 4 * time.Millisecond, bytes: 60}
	})
	jobs := []*job{newJob("a000", t.key, 100, 600), newJob("b000", t.key, 100, 600)}
	for n, j := range jobs {
		if b.submit(b.hosts[n], j) != http.StatusAccepted {
			panic(cannotRun{"a job isn't accepted"})
		}
	}
	for _, j := range jobs {
		for p, _ := b.read(b.hosts[2], j.id, j.key, len(j.items)-1, 0); len(p.Results) == 0; p, _ = b.read(b.hosts[2], j.id, j.key, len(j.items)-1, 0) {
			time.Sleep(200 * time.Millisecond)
		}
	}
	b.rec.say("both jobs are done; memory of their hosts: %d and %d MB", b.hosts[0].rssMB(), b.hosts[1].rssMB())
	end := time.Now().Add(75 * time.Second)
	pause := 150 * time.Millisecond
	if !b.trouble {
		pause = 0
	}
	ends, peaks := make([]int, len(jobs)), make([]int, len(jobs))
	var loops sync.WaitGroup
	for n, j := range jobs {
		h := b.hosts[3+n] // another one than that which runs the job
		loops.Go(func() { ends[n], peaks[n] = b.guardMemory(h, end) })
		for k := range slowReaders {
			loops.Go(func() {
				time.Sleep(time.Duration(k) * 50 * time.Millisecond)
				for time.Now().Before(end) {
					length := b.readResults(h, j, pause, end)
					b.rec.note("page", j.id, "at", h.name, "bytes", fmt.Sprint(length))
					time.Sleep(2 * time.Second)
				}
			})
		}
	}
	loops.Wait()
	b.rec.say("peak memory %v MB of %d; processes that ended for it: %v", peaks, slowMemoryMB, ends)
	return ends[0] < 3 || ends[1] < 3
}
