// Package loopback finds free addresses for the processes of a demo or an
// experiment on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The ports lie below the range from which systems choose the ports of outgoing
// connections, so that none is taken between choice and use.
const (
	firstPort = 10_000
	portCount = 22_000
)

var next atomic.Uint32

func init() { next.Store(rand.Uint32N(portCount)) }

// FreeAddresses returns n addresses of 127.0.0.1 that were free a moment ago. No
// call of this process returns an address again before all others were tried.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		addresses = append(addresses, address)
	}
	return nil, errors.New("no port is free on loopback")
}
