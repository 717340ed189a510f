// Package scenario runs the test scripts of the folder scenarios. They start processes
// of the program on loopback and cause real process and network failures.
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

// setup stores free ports in the variables P1, P2 and so on, and prepares the process
// table. The processes are killed at the end of the scenario.
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
	env.Values[backgroundTasksKey] = map[string]*backgroundTask{}
	env.Defer(procs.killAll)
	return nil
}

// Scenario ports lie below the ephemeral port range. Otherwise an outgoing connection
// could take one while a scenario runs.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// freePorts returns ports that were free when checked. Scenarios of this process get
// different ones.
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
