package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// cut is a partition of one host from the other hosts and from the store. Its proxies forward
// bytes until it is active; then they hold them, without a reset.
type cut struct {
	mu     sync.Mutex
	active bool
	conns  map[*proxied]bool
	pid    func() int // of the host that is cut off; zero while it doesn't run
}

// proxied is a channel through a proxy.
type proxied struct {
	client, server net.Conn
	affected       bool // one of its ends is the host that is cut off
}

func (p *proxied) close() {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// proxy returns an address that leads to the target. If the target isn't the host that is cut
// off, channels are affected only if that host has opened them.
func (c *cut) proxy(target string, always bool) (string, error) {
	address, err := freeAddress()
	if err != nil {
		return "", err
	}
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go c.serve(conn, target, always)
		}
	}()
	return address, nil
}

func (c *cut) serve(client net.Conn, target string, always bool) {
	p := &proxied{client: client, affected: always || ownsPort(c.pid(), client.RemoteAddr().(*net.TCPAddr).Port)}
	c.mu.Lock()
	c.conns[p] = true
	held := c.active && p.affected
	c.mu.Unlock()
	if held {
		return // until the cut heals
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		p.close()
		return
	}
	c.mu.Lock()
	p.server = server
	c.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(p, server, client) })
	both.Go(func() { c.copy(p, client, server) })
	both.Wait()
	p.close()
	c.mu.Lock()
	delete(c.conns, p)
	c.mu.Unlock()
}

// copy forwards bytes until the channel ends. In the cut it drops them, as the channel is closed
// when that heals.
func (c *cut) copy(p *proxied, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		held := c.active && p.affected
		c.mu.Unlock()
		if held {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			return
		}
	}
}

// set begins or heals the cut. Channels of before the cut don't outlast it.
func (c *cut) set(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
	if active {
		return
	}
	for p := range c.conns {
		if p.affected {
			p.close()
			delete(c.conns, p)
		}
	}
}

// ownsPort reports whether the process has a socket with the local port.
func ownsPort(pid, port int) bool {
	if pid == 0 {
		return false
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	suffix := fmt.Sprintf(":%04X", port)
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], suffix) {
			continue
		}
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}
