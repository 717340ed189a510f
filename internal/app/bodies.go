package app

import (
	"math"
	"net/http"
	"runtime/debug"

	"github.com/masticscale/masticscale/internal/callerlimit"
)

const (
	peerMemoryParts = 8 // part of the memory limit that messages of peers may take
	messageFactor   = 2 // a message is held as received and decoded
)

// peerAccount returns the account of the messages of peers for a process with the memory
// limit of the Go runtime. Without a limit it has no bound.
func peerAccount(memoryLimit int64) *callerlimit.Account {
	if memoryLimit == math.MaxInt64 {
		return callerlimit.NewAccount(0)
	}
	return callerlimit.NewAccount(memoryLimit / peerMemoryParts)
}

// newPeerGuard returns the guard of the messages of peers.
func (h *Host) newPeerGuard() *callerlimit.Guard {
	count := h.Metrics.RegisterCallerLimits()
	noHeadLimits := func() callerlimit.HeadLimits { return callerlimit.HeadLimits{} }
	return callerlimit.NewGuard(peerAccount(debug.SetMemoryLimit(-1)), noHeadLimits, func(why callerlimit.Reason) { count(string(why)) }, h.Log)
}

// boundPeerBodies bounds the messages of peers, which are all of unary calls.
func boundPeerBodies(g *callerlimit.Guard, next http.Handler) http.Handler {
	return g.LimitBodies(next, messageFactor, func(*http.Request) bool { return false })
}
