package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is a process of the project, as deploy/system.toml starts it on an edge machine.
type host struct {
	name, zone                        string
	callers, readiness, peers, metric string
	peersAt                           string // of the proxy before peers
	settings                          string
	cmd                               *exec.Cmd
	exited                            chan struct{}
	log                               *os.File
}

// ownIP is a loopback address of this run, so that no other process takes the port of a host
// while that is down.
var ownIP = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, 1+os.Getpid()/32000%250)

// reserved are the addresses of hosts, whose ports are free while they are down.
var reserved = map[string]bool{}

// listen opens a socket on a free port. Hosts' addresses are reserved before they start.
func listen() net.Listener {
	for {
		l, err := net.Listen("tcp", ownIP+":0")
		must(err)
		if !reserved[l.Addr().String()] {
			return l
		}
		_ = l.Close()
	}
}

// freeAddresses returns addresses with free ports.
func freeAddresses(count int) []string {
	var free []string
	for range count {
		l := listen()
		defer func() { _ = l.Close() }()
		free = append(free, l.Addr().String())
		reserved[l.Addr().String()] = true
	}
	return free
}

// newHosts prepares hosts, one a zone, without starting them.
func newHosts(dir string, s *store, links *network, count, memoryMB int) []*host {
	var hosts []*host
	free := freeAddresses(4 * count)
	for n := range count {
		f := free[4*n:]
		h := &host{name: fmt.Sprintf("edge-%d", n+1), zone: fmt.Sprintf("zone-%c", 'a'+n%3), callers: f[0], readiness: f[1], peers: f[2], metric: f[3]}
		h.peersAt = links.listen(h)
		hosts = append(hosts, h)
	}
	var seeds []string
	for _, h := range hosts[:min(3, count)] {
		seeds = append(seeds, h.peersAt)
	}
	for _, h := range hosts {
		h.writeSettings(dir, s.listen(h.name), seeds, memoryMB)
	}
	return hosts
}

func (h *host) writeSettings(dir, store string, seeds []string, memoryMB int) {
	raw, err := json.MarshalIndent(map[string]any{
		"name": h.name, "data_centre": h.zone,
		"listen": map[string]string{"callers": h.callers, "readiness": h.readiness, "peers": h.peers, "peers_at": h.peersAt, "metrics": h.metric},
		"store":  store, "seeds": seeds, "memory_mb": memoryMB, "max_fds": 4100, "cores": 1, "stop_seconds": 8, "keep_seconds": 120,
		"terms": []string{"base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota", "platform"},
	}, "", " ")
	must(err)
	h.settings = filepath.Join(dir, h.name+".json")
	must(os.WriteFile(h.settings, raw, 0o600))
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	must(err)
}

func (h *host) start() {
	h.cmd = exec.Command("target/masticscale", "fleet", "host")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICSCALE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	must(h.cmd.Start())
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts ...*host) {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				panic(cannotRun{"host " + h.name + " isn't ready"})
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// answer is what a client got.
type answer struct {
	status int // 0 is a closed channel or no answer
	header http.Header
	body   string
}

// call sends one client attempt on a new channel.
func (h *host) call(timeout time.Duration, method, path, body string, header map[string]string) answer {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	must(err)
	r.Host = siteHost
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := c.Do(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	if _, err := copyAll(&text, resp.Body); err != nil {
		return answer{header: resp.Header, body: text.String()}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: text.String()}
}
