package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond // of a worker's entry
	service    = "lm"
	domain     = "case.example"
	healthPath = "/healthz"
	tenant     = "team-a"
	key        = "key-0123456789"
	zones      = 3
	graceTime  = 8 * time.Second // from SIGTERM to SIGKILL
)

// hostMemory is the memory of a host in MB.
const hostMemory = 284

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

// child is a process that the case has started.
type child struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func (c *child) running() bool {
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// host is a host of the project.
type host struct {
	*child
	callers, readiness, settings string
}

// workerProcess is a worker stand-in.
type workerProcess struct {
	*child
	id, address, zone string
}

// fleet holds all processes of a case, and its record.
type fleet struct {
	dir      string // temporary
	binary   string
	self     string
	store    string
	mu       sync.Mutex
	children []*child
	hosts    []*host
	workers  []*workerProcess
	started  int // workers
	record   *os.File
	began    time.Time
	closed   bool
	change   func(n int, settings map[string]any) error // of the settings of host n; nil for none
}

// newFleet starts the platform's store. The record is written to the path.
func newFleet(binary, recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, self: self, record: record, began: time.Now()}
	if f.store, err = freeAddress(); err != nil {
		return f, err
	}
	if _, err := f.start("store", nil, binary, "emulate", "platform", "--listen", f.store); err != nil {
		return f, err
	}
	return f, waitFor(5*time.Second, "the store", func() bool {
		resp, err := http.Get("http://" + f.store + "/health")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	})
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = f.record.WriteString(line)
}

// close ends all processes. No other is started after that.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, c := range f.children {
		c.signal(syscall.SIGCONT)
		c.signal(syscall.SIGKILL)
	}
	for _, c := range f.children {
		<-c.exited
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// start starts a process whose output goes to a file in the temporary folder.
func (f *fleet) start(name string, env []string, program string, args ...string) (*child, error) {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errNotRun
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &child{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.exited)
	}()
	f.children = append(f.children, c)
	return c, nil
}

// Ports of the case lie below those that the system gives to outgoing channels.
const (
	firstPort = 18000
	portCount = 13000
)

// freeAddress returns a loopback address with a free port that it hasn't returned before.
func freeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		socket, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+nextPort))
		if err != nil {
			continue
		}
		return socket.Addr().String(), socket.Close()
	}
	return "", fmt.Errorf("%w: no port is free", errNotRun)
}

var (
	portMu   sync.Mutex
	nextPort = rand.IntN(portCount)
)

func waitFor(limit time.Duration, what string, done func() bool) error {
	for deadline := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: waited too long for %s", errNotRun, what)
		}
	}
	return nil
}

// startHosts starts hosts with the command of the deploy file, and waits until they are ready.
func (f *fleet) startHosts(count int) error {
	var seeds []string
	var peers [][]string
	for range count {
		var free []string
		for range 4 {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			free = append(free, address)
		}
		peers = append(peers, free)
		if len(seeds) < 3 {
			seeds = append(seeds, free[2])
		}
	}
	for n, free := range peers {
		settings := map[string]any{
			"name": fmt.Sprint("edge-", n), "data_centre": fmt.Sprint("zone-", n%zones), "store": f.store, "seeds": seeds,
			"listen":    map[string]any{"callers": free[0], "readiness": free[1], "peers": free[2], "metrics": free[3]},
			"memory_mb": hostMemory, "cores": 1, "stop_seconds": 8, "keep_seconds": 120,
		}
		if f.change != nil {
			if err := f.change(n, settings); err != nil {
				return err
			}
		}
		raw, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		h := &host{callers: free[0], readiness: free[1], settings: filepath.Join(f.dir, fmt.Sprint("edge-", n, ".json"))}
		if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
			return err
		}
		if h.child, err = f.start(fmt.Sprint("edge-", n), []string{"MASTICSCALE_BOOT=" + h.settings}, f.binary, "fleet", "host"); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return waitFor(15*time.Second, "the hosts", func() bool {
		for _, h := range f.hosts {
			if !h.ready() {
				return false
			}
		}
		return true
	})
}

func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.readiness + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// startWorker starts a worker under a new id.
func (f *fleet) startWorker() error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.mu.Lock()
	n := f.started
	f.started++
	f.mu.Unlock()
	w := &workerProcess{id: fmt.Sprintf("w-%02d", n), address: address, zone: fmt.Sprint("zone-", n%zones)}
	w.child, err = f.start(w.id, nil, f.self, "worker", "--id", w.id, "--service", service, "--zone", w.zone, "--listen", w.address,
		"--store", f.store, "--log", filepath.Join(f.dir, w.id+".runs"))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	return nil
}

// removeEntry removes a worker's entry after three heartbeats of silence, as the platform does.
func (f *fleet) removeEntry(w *workerProcess) {
	time.Sleep(3 * heartbeat)
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.store+"/objects/servers/"+w.id, nil)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
	f.note("the platform removed the entry of %s after three heartbeats of silence", w.id)
}

// runs returns the log lines of all workers.
func (f *fleet) runs() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []run
	for _, w := range f.workers {
		all = append(all, readRuns(filepath.Join(f.dir, w.id+".runs"))...)
	}
	return all
}

// writeConfig writes the first manifest.
func (f *fleet) writeConfig() error {
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": domain, wire["prefix"]: "/" + name + "/", "kind": kind, "timeout_ms": 5000, wire["latency target"]: 300,
			"service": service, wire["attempts"]: 1, wire["gap target"]: 300, "sticky": true, "priority": 0,
		}
		for name, value := range more {
			r[name] = value
		}
		return r
	}
	return putObject(f.store, "config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			route("reply", "streaming", nil),
			route("batch", "batch", map[string]any{
				"timeout_ms": 15000, wire["latency target"]: 400, wire["attempts"]: 3, "priority": 2, wire["due"]: 18000, "retention_s": 60, "max_count": 940000,
			}),
		},
		"services": []any{map[string]any{"name": service, "health_path": healthPath, "max_conns": 370}},
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
	})
}

// putObject creates or replaces an object of the store.
func putObject(store, kind, name string, spec any) error {
	raw, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	base := "http://" + store + "/objects/" + kind
	for _, call := range [][2]string{{http.MethodPut, base + "/" + name}, {http.MethodPost, base}} {
		req, err := http.NewRequest(call[0], call[1], bytes.NewReader(raw))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode < 300 {
			return nil
		}
		if resp.StatusCode != http.StatusNotFound {
			return fmt.Errorf("write of %s %q: status %d", kind, name, resp.StatusCode)
		}
	}
	return fmt.Errorf("write of %s %q failed", kind, name)
}
