package fleethost

import (
	"net"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/callerlimit"
	"github.com/masticscale/masticscale/internal/entry"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	// callerMemoryParts is the part of the machine's memory that requests of callers may
	// take. The Go runtime limits the heap to memoryLimitFraction (0.7) of it; the smallest
	// host, of 134 MB, needs 37 MB without load, and up to 24 MB for buffered responses.
	callerMemoryParts = 4

	// peerMemoryParts is that part for messages of peers. The smallest host then holds 16 MB
	// of them, one of the largest.
	peerMemoryParts = 8

	// remoteJobParts is that part for jobs of other hosts that callers read here. The
	// smallest host then holds 8 MB of them; the largest job takes about 4 MB.
	remoteJobParts = 16

	messageFactor = 2 // a message is held as received and decoded
)

// sockets32 are the parts of 32 of the descriptors for sockets that a listener may have. A
// quarter is left for upstreams and the store.
var sockets32 = map[string]int{"callers": 18, "peers": 4, "metrics": 1, "readiness": 1}

// guards keep what others send within the memory and the descriptors of the machine. Peers
// have an account of their own, which callers can't fill.
type guards struct{ callers, peers *callerlimit.Guard }

// accountBytes returns one of the given number of parts of the memory; 0 is no bound.
func (s Settings) accountBytes(parts int64) int64 { return int64(s.MemoryMB) << 20 / parts }

func newGuards(s Settings, core *entry.Core, m *telemetry.Metrics, log logrus.FieldLogger) *guards {
	limits := func() callerlimit.HeadLimits {
		config := core.Config()
		if config == nil {
			return callerlimit.HeadLimits{}
		}
		return callerlimit.HeadLimits{Bytes: config.Limits.HeaderBytes, Time: config.Limits.HeaderTime, Idle: config.Limits.IdleTime}
	}
	count := m.RegisterCallerLimits()
	refused := func(why callerlimit.Reason) { count(string(why)) }
	g := &guards{
		callers: callerlimit.NewGuard(callerlimit.NewAccount(s.accountBytes(callerMemoryParts)), limits, refused, log),
		peers:   callerlimit.NewGuard(callerlimit.NewAccount(s.accountBytes(peerMemoryParts)), func() callerlimit.HeadLimits { return callerlimit.HeadLimits{} }, refused, log),
	}
	m.RegisterHeldForCallers(g.callers.Used, g.callers.Unfinished)
	return g
}

// boundConnections bounds the connections of a listener if the settings state what the
// machine has.
func (h *Host) boundConnections(name string, socket net.Listener) net.Listener {
	if h.Settings.MemoryMB == 0 && h.Settings.MaxFDs == 0 {
		return socket
	}
	sockets := 0
	if h.Settings.MaxFDs > 0 {
		sockets = max(1, callerlimit.Sockets(h.Settings.MaxFDs)*sockets32[name]/32)
	}
	if name == "peers" {
		return h.Guards.peers.ListenHTTP2(socket, sockets)
	}
	return h.Guards.callers.Listen(socket, callerlimit.BoundsFor(sockets, h.Settings.accountBytes(callerMemoryParts)))
}

// boundJobs bounds the memory of jobs if the settings state what the machine has.
func (h *Host) boundJobs() {
	if h.Settings.MemoryMB > 0 {
		h.Runner.SetMemory(h.Guards.callers, h.Settings.accountBytes(remoteJobParts))
	}
}

// boundPeerBodies bounds the messages of peers' calls. Those of streams aren't held once
// they are delivered.
func (h *Host) boundPeerBodies(next http.Handler) http.Handler {
	if h.Settings.MemoryMB == 0 {
		return next
	}
	isStream := func(r *http.Request) bool {
		return strings.HasPrefix(r.Header.Get("Content-Type"), "application/connect+")
	}
	return h.Guards.peers.LimitBodies(next, messageFactor, isStream)
}
