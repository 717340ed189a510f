package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	linkMbps     = 30  // of the small hosts of the site
	linkMemory   = 112 // MB, of the same hosts
	jobItems     = 10
	jobInterval  = 50 * time.Millisecond // between the jobs of a burst: 20 a second
	restartPause = time.Second
)

// link passes a host's channels to the store on, at no more than the rate of the host's link.
type link struct {
	to       string
	up, down pace
}

// pace spaces bytes out.
type pace struct {
	mu   sync.Mutex
	free time.Time // when the bytes before are through
}

func (p *pace) wait(n int) {
	p.mu.Lock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(n) * 8 * time.Second / (linkMbps * 1000000))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// newLink returns the address of a new link to the store.
func newLink(to string) (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l := &link{to: to}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go l.pass(conn)
		}
	}()
	return socket.Addr().String(), nil
}

func (l *link) pass(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Go(func() { copyPaced(far, near, &l.up) })
	both.Go(func() { copyPaced(near, far, &l.down) })
	both.Wait()
}

// copyPaced copies until one side ends, and passes the end on.
func copyPaced(to, from net.Conn, p *pace) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.wait(n)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// paddedJob returns the items of a job whose bodies have about the given size.
func paddedJob(bytes, events, pauseMS int) []batchItem {
	var items []batchItem
	for n := range jobItems {
		items = append(items, newItem(fmt.Sprintf("%08x", n), work{Events: events, PauseMS: pauseMS, Pad: strings.Repeat("x", bytes)}))
	}
	return items
}

// startLoaded starts nine workers and three hosts with slow links, and has the hosts run jobs of
// short items, which stay in the store.
func (f *fleet) startLoaded(jobs, bodyBytes int) error {
	if err := f.writeConfig(); err != nil {
		return err
	}
	for range 9 {
		if err := f.startWorker(); err != nil {
			return err
		}
	}
	f.change = func(_ int, settings map[string]any) error {
		address, err := newLink(f.store)
		settings["store"], settings["memory_mb"] = address, linkMemory
		return err
	}
	if err := f.startHosts(3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	accepted := 0
	var calls sync.WaitGroup
	for n := range jobs {
		calls.Go(func() {
			if a := submit(f.hosts[n%len(f.hosts)], newID(), paddedJob(bodyBytes, 3, 10), 4*time.Second); a.status == http.StatusAccepted {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
		time.Sleep(jobInterval)
	}
	calls.Wait()
	f.note("%d of %d jobs of %d short items with bodies of %d bytes were accepted", accepted, jobs, jobItems, bodyBytes)
	time.Sleep(4 * time.Second)
	return nil
}

// restartKilled kills the host and starts it again after the pause, with the same settings.
func (f *fleet) restartKilled(h *host, pause time.Duration) error {
	f.note("SIGKILL of %s", h.name)
	h.signal(syscall.SIGKILL)
	<-h.exited
	time.Sleep(pause)
	c, err := f.start(h.name, []string{"MASTICSCALE_BOOT=" + h.settings}, f.binary, "fleet", "host")
	if err != nil {
		return err
	}
	h.child = c
	f.note("%s was started again", h.name)
	return waitFor(15*time.Second, h.name, func() bool {
		if !h.ready() {
			return false
		}
		f.note("%s is ready", h.name)
		return true
	})
}
