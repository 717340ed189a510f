// Package scenario runs the scripted scenarios of the folder scenarios: real
// processes of the program on loopback, with failures caused for real.
package scenario

import (
	"fmt"
	"net"
	"os"
	"testing"

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
	env.Defer(procs.killAll)
	return nil
}

// freePorts returns ports that were free a moment ago. All are held until the
// last is found, so that they differ.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
