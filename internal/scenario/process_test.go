package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	stopTimeout  = 60 * time.Second
	processesKey = "processes"
)

type process struct {
	cmd  *exec.Cmd
	done chan error
}

// processes is the table of the processes, relays and loads that a scenario has
// started.
type processes struct {
	dir string

	mu         sync.Mutex
	all        map[string]*process
	relays     map[string]*relay
	traffic    *traffic
	chatGroups sync.Map // name to *chatGroup
}

func newProcesses(dir string) *processes {
	return &processes{dir: dir, all: map[string]*process{}, relays: map[string]*relay{}}
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey).(*processes)
}

// start runs the program in the background; its output goes to NAME.log.
func (p *processes) start(name, program string, args, env []string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, args...)
	cmd.Env = env
	cmd.Dir = p.dir
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	proc := &process{cmd: cmd, done: make(chan error, 1)}
	go func() {
		proc.done <- cmd.Wait()
		_ = log.Close()
	}()
	p.mu.Lock()
	p.all[name] = proc
	p.mu.Unlock()
	return nil
}

func (p *processes) get(ts *testscript.TestScript, name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	proc := p.all[name]
	if proc == nil {
		ts.Fatalf("no process is named %s", name)
	}
	return proc
}

func (p *processes) signal(ts *testscript.TestScript, name string, s syscall.Signal) {
	ts.Check(p.get(ts, name).cmd.Process.Signal(s))
}

// wait waits for the end of a process and returns its error.
func (p *processes) wait(ts *testscript.TestScript, name string) error {
	select {
	case err := <-p.get(ts, name).done:
		p.mu.Lock()
		delete(p.all, name)
		p.mu.Unlock()
		return err
	case <-time.After(stopTimeout):
		ts.Fatalf("%s did not exit within %v", name, stopTimeout)
		return nil
	}
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.relays {
		r.close()
	}
	for _, proc := range p.all {
		_ = proc.cmd.Process.Signal(syscall.SIGCONT)
		_ = proc.cmd.Process.Kill()
		<-proc.done
	}
}
