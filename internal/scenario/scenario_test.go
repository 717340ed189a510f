// Package scenario runs the scripted scenarios of the folder scenarios: real
// processes of the program on loopback, with failures caused for real.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/cli"
)

const portsPerScenario = 24

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"masticscale": func() { os.Exit(cli.Main()) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../scenarios",
		Setup:               setup,
		Cmds:                commands,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}

// setup gives a scenario free ports as P1, P2 and so on, and a place for its
// processes, which all end with it.
func setup(env *testscript.Env) error {
	ports, err := freePorts(portsPerScenario)
	if err != nil {
		return err
	}
	for i, port := range ports {
		env.Setenv(fmt.Sprintf("P%d", i+1), fmt.Sprint(port))
	}
	procs := newProcesses(env.WorkDir)
	env.Values[processesKey] = procs
	env.Values[monitorsKey] = map[string]*background{}
	env.Defer(procs.killAll)
	return nil
}

// The ports of scenarios lie below those that the system gives to outgoing
// connections, which would otherwise take them while a scenario runs.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// freePorts returns ports that were free a moment ago. No two scenarios of this
// process get the same one.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("too few ports are free")
}
