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
	commands["cut"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelay(ts, a, relayCut) }
	commands["silence"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelay(ts, a, relaySilent) }
	commands["forget"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelay(ts, a, relayForgetful) }
	commands["heal"] = func(ts *testscript.TestScript, _ bool, a []string) { setRelay(ts, a, relayHealthy) }
}

// relayState is what a relay does with its connections.
type relayState int

const (
	relayHealthy   relayState = iota
	relayCut                  // refuses new connections and closes open ones
	relaySilent               // holds every connection open and passes nothing on
	relayForgetful            // open connections go silent for good; new ones work
)

// relay stands between two processes and makes the network between them fail.
type relay struct {
	target string
	socket net.Listener

	mu    sync.Mutex
	state relayState
	pairs map[*relayPair]struct{}
}

// relayPair is one connection through a relay.
type relayPair struct {
	relay  *relay
	silent bool // guarded by relay.mu
	in     net.Conn
	out    net.Conn
}

const (
	relayBuffer = 32 << 10
	relayPoll   = 10 * time.Millisecond
)

// cmdRelay passes connections on: relay NAME LISTEN TARGET
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	usage(ts, len(args) == 3, "relay NAME LISTEN TARGET")
	socket, err := net.Listen("tcp", args[1])
	ts.Check(err)
	r := &relay{target: args[2], socket: socket, pairs: map[*relayPair]struct{}{}}
	processesOf(ts).relays[args[0]] = r
	go r.accept()
}

func setRelay(ts *testscript.TestScript, names []string, state relayState) {
	usage(ts, len(names) >= 1, "cut|silence|forget|heal NAME...")
	for _, name := range names {
		r := processesOf(ts).relays[name]
		if r == nil {
			ts.Fatalf("no relay is named %s", name)
		}
		r.set(state)
	}
}

func (r *relay) set(state relayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	for p := range r.pairs {
		if state == relayCut {
			p.close()
		}
		if state == relayForgetful {
			p.silent = true
		}
	}
}

func (r *relay) accept() {
	for {
		in, err := r.socket.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *relay) serve(in net.Conn) {
	r.mu.Lock()
	refused := r.state == relayCut
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
	p := &relayPair{relay: r, in: in, out: out}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in) })
	wg.Go(func() { p.copy(in, out) })
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copy passes bytes on while the pair is not silent, and drops them otherwise.
func (p *relayPair) copy(to, from net.Conn) {
	defer p.close()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if p.isSilent() {
			if err != nil && err != io.EOF {
				return
			}
			time.Sleep(relayPoll)
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

func (p *relayPair) isSilent() bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.silent || p.relay.state == relaySilent
}

func (p *relayPair) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

func (r *relay) close() {
	_ = r.socket.Close()
	r.set(relayCut)
}
