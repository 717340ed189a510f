package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tenant is one of the manifest.
type tenant struct {
	name, key   string
	rate, burst float64
}

// site is what the manifest names.
type site struct {
	version   int64
	tenants   []tenant
	maxCount  int64   // tokens of a tenant that may wait
	retention float64 // seconds
	attempts  int     // of an item
}

const (
	service    = "kit-assistant"
	onlinePath = "/lohu930/"
	batchPath  = "/pule252/"
)

// writeManifest writes the manifest as the operator does.
func (b *bench) writeManifest(s site) {
	var tenants []map[string]any
	for _, t := range s.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "api_keys": []string{t.key}, "rate_per_s": t.rate, "burst": t.burst})
	}
	if s.retention == 0 {
		s.retention = 60
	}
	b.store.write("config", "main", map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "r-online", "host": siteHost, wire["prefix"]: onlinePath, "kind": "streaming", "timeout_ms": 5000, wire["latency target"]: 300, "priority": 0,
				"service": service, wire["attempts"]: 2, "public": false, "sticky": true, "resumable": true, wire["gap target"]: 400},
			{"name": "r-batch", "host": siteHost, wire["prefix"]: batchPath, "kind": "batch", "timeout_ms": 15000, wire["latency target"]: 4000, "priority": 2,
				"service": service, wire["attempts"]: max(s.attempts, 3), wire["due"]: 18000, "retention_s": s.retention, "max_count": s.maxCount, "public": false, "resumable": true, wire["gap target"]: 400},
		},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kv_capacity_tokens": 79783, "models": []map[string]string{{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

// job is a batch job of a client.
type job struct {
	id, key string
	items   []item
	status  int // of the latest client attempt
	sentAt  time.Time
	acked   time.Time
}

type item struct {
	id     string
	tokens int64
}

// newJob returns a job of items that take the tokens each.
func newJob(id, key string, items int, tokens int64) *job {
	j := &job{id: id, key: key}
	for n := range items {
		j.items = append(j.items, item{fmt.Sprintf("%s.i%d", id, n), tokens})
	}
	return j
}

func (j *job) tokens() (sum int64) {
	for _, i := range j.items {
		sum += i.tokens
	}
	return sum
}

// bodyOf returns the body of an item.
func (b *bench) bodyOf(id string) []byte {
	return []byte(padded("body of "+id, b.bodyBytes))
}

// submit hands the job in once.
func (b *bench) submit(h *host, j *job) int {
	var items []map[string]any
	for _, i := range j.items {
		items = append(items, map[string]any{
			"id": i.id, "path": batchPath + "3/91c4", "body": base64.StdEncoding.EncodeToString(b.bodyOf(i.id)), "tokens": i.tokens,
			"headers": map[string]string{"X-Model": "m", wire["tokens"]: fmt.Sprintf("350,%d", i.tokens-350)},
		})
	}
	body, err := json.Marshal(map[string]any{"items": items})
	must(err)
	if j.sentAt.IsZero() {
		j.sentAt = time.Now()
	}
	b.rec.note("job", j.id, "at", h.name, "tokens", fmt.Sprint(j.tokens()))
	a := h.call(5*time.Second, http.MethodPost, batchPath+j.id, string(body), map[string]string{wire["request"]: j.id, "Api-Key": j.key, "Content-Type": "application/json", wire["time left"]: "4000"})
	j.status = a.status
	if a.status == http.StatusAccepted {
		j.acked = time.Now()
	}
	b.rec.note("job_answered", j.id, "by", h.name, "status", fmt.Sprint(a.status))
	return a.status
}

// backlog judges the rule on the tokens that wait, from what clients and workers have seen.
type backlog struct {
	b    *bench
	mu   sync.Mutex
	jobs []*job
}

// accepted adds a job that was answered 202 and returns the tokens of the accepted items that
// no worker has finished.
func (l *backlog) accepted(j *job) (waiting int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
	for _, x := range l.jobs {
		for _, i := range x.items {
			if !l.b.rec.hasFinished(i.id) {
				waiting += i.tokens
			}
		}
	}
	return waiting
}

// startFleet starts the workers and the hosts, and waits until all are ready and should have heard
// each other.
func (b *bench) startFleet(hosts, workers int, s site, plan func(r *http.Request) plan) {
	b.writeManifest(s)
	for n := range workers {
		startWorker(b.store, b.rec, fmt.Sprintf("i-%02d", n), fmt.Sprintf("zone-%c", 'a'+n%3), service, plan)
	}
	b.net = newNetwork(func() []*host { return b.hosts })
	b.hosts = newHosts(b.dir, b.store, b.net, hosts, cmp.Or(b.memoryMB, 134))
	for _, h := range b.hosts {
		h.start()
	}
	awaitReady(b.hosts...)
	time.Sleep(3 * time.Second)
}
