// Package loopback allocates free loopback addresses for the processes of a demo
// or an experiment on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The ports lie below the operating system's ephemeral port range, so no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 10_000
	portCount = 22_000
)

var nextOffset atomic.Uint32

func init() { nextOffset.Store(rand.Uint32N(portCount)) }

// FreeAddresses returns n addresses on 127.0.0.1 whose ports were free when
// checked. Calls of the same process return no address twice before all others were
// tried.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextOffset.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "close probe listener")
		}
		addresses = append(addresses, address)
	}
	return nil, errors.New("no free port on 127.0.0.1")
}
