package scenario

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	commands["relay"] = cmdRelay
	commands["cut"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelayMode(ts, a, relayRefuse) }
	commands["silence"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelayMode(ts, a, relayStallAll) }
	commands["forget"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelayMode(ts, a, relayStallOpen) }
	commands["heal"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelayMode(ts, a, relayForward) }
}

// relayMode is the fault that a relay causes.
type relayMode int

const (
	relayForward   relayMode = iota
	relayRefuse              // closes open and new connections
	relayStallAll            // keeps all connections open and drops their bytes
	relayStallOpen           // drops all further bytes of open connections; new ones work
)

// relay is a TCP proxy that causes network faults between two processes.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  relayMode
	conns map[*relayConn]struct{}
}

// relayConn is a connection through a relay.
type relayConn struct {
	relay   *relay
	stalled bool // guarded by relay.mu
	in      net.Conn
	out     net.Conn
}

const (
	relayBuffer       = 32 << 10
	stallPollInterval = 10 * time.Millisecond
)

// cmdRelay starts a relay from an address to a target: relay NAME LISTEN TARGET
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "relay NAME LISTEN TARGET")
	listener, err := net.Listen("tcp", args[1])
	ts.Check(err)
	r := &relay{target: args[2], listener: listener, conns: map[*relayConn]struct{}{}}
	processesOf(ts).relays[args[0]] = r
	go r.accept()
}

func setRelayMode(ts *testscript.TestScript, names []string, mode relayMode) {
	checkUsage(ts, len(names) >= 1, "cut|silence|forget|heal NAME...")
	for _, name := range names {
		r := processesOf(ts).relays[name]
		if r == nil {
			ts.Fatalf("no relay is named %s", name)
		}
		r.setMode(mode)
	}
}

func (r *relay) setMode(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for p := range r.conns {
		if mode == relayRefuse {
			p.close()
		}
		if mode == relayStallOpen {
			p.stalled = true
		}
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *relay) serve(in net.Conn) {
	r.mu.Lock()
	refused := r.mode == relayRefuse
	r.mu.Unlock()
	if refused {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p := &relayConn{relay: r, in: in, out: out}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in) })
	wg.Go(func() { p.copy(in, out) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// copy forwards bytes, or drops them while the connection is stalled.
func (p *relayConn) copy(to, from net.Conn) {
	defer p.close()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if p.isStalled() {
			if err != nil && err != io.EOF {
				return
			}
			time.Sleep(stallPollInterval)
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *relayConn) isStalled() bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.stalled || p.relay.mode == relayStallAll
}

func (p *relayConn) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setMode(relayRefuse)
}
