// Command standin2 has the stand-ins and the drivers of the cases of the second review. It
// plays the platform's store, the workers, the operator and the clients, and starts the
// project's hosts as processes of their own.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const siteHost = "review.example"

// record is record.txt: what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	start    time.Time
	out      *os.File
	runs     []run
	finishes map[string]time.Time // of runs to the end, by id
}

// run is the begin of a run at a worker.
type run struct {
	id, tenant string
	at         time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{start: time.Now(), out: f, finishes: map[string]time.Time{}}
}

func (r *record) note(event, id string, fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f %s %s", time.Since(r.start).Seconds(), event, id)
	for n := 0; n+1 < len(fields); n += 2 {
		if fields[n+1] != "" {
			line += " " + fields[n] + "=" + fields[n+1]
		}
	}
	_, _ = fmt.Fprintln(r.out, line)
}

func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("#", text)
	fmt.Println(text)
}

func (r *record) began(id, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id, tenant, time.Now()})
}

func (r *record) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.finishes[id]; !known {
		r.finishes[id] = time.Now()
	}
}

func (r *record) hasFinished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.finishes[id]
	return known
}

func (r *record) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func copyAll(to io.Writer, from io.Reader) (int64, error) { return io.Copy(to, from) }

// bench is what a case runs on.
type bench struct {
	rec       *record
	store     *store
	hosts     []*host
	net       *network
	memoryMB  int // of a host; 0 is that of Quillwood's sheet
	bodyBytes int // of an item; 0 is a short text
	trouble   bool
	dir       string // of settings and logs
}

var cases = map[string]func(b *bench) bool{}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		serveWorker(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: standin2 CASE RECORD, with a case of", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// longest is the time that a case may take.
const longest = 115 * time.Second

// runCase runs a case and ends all that it has started: 0 if the rule held, 1 if it was broken,
// 2 if the case couldn't run.
func runCase(name, recordPath string) (code int) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		fmt.Println("the case was stopped or took too long")
		b.clean()
		os.Exit(2)
	}()
	defer func() {
		cause := recover()
		b.clean()
		if why, ok := cause.(cannotRun); ok {
			fmt.Println("the case can't run:", why.why)
			code = 2
		} else if cause != nil {
			panic(cause)
		}
	}()
	b.rec = newRecord(recordPath)
	b.store = newStore()
	if cases[name](b) {
		b.rec.say("the rule held")
		return 0
	}
	b.rec.say("the rule was broken")
	return 1
}

// clean ends the processes and removes the temporary folder.
func (b *bench) clean() {
	for _, h := range b.hosts {
		h.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(b.dir))
	}
	_ = os.RemoveAll(b.dir)
}
