package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/integration/process"
	"hawthornshore.example/platform/standin"
)

// Process is a gateway or a coordinator that can be restarted.
type Process struct {
	Machine standin.Machine
	binary  string
	seeds   []string
	ports   standin.Ports
	boot    string // settings file
	folder  string
	log     string

	mu      sync.Mutex
	current *process.Process
}

func newProcess(folder, binary string, seeds []string, machine standin.Machine) *Process {
	return &Process{
		Machine: machine, binary: binary, seeds: seeds, ports: ports, folder: folder,
		log: filepath.Join(folder, machine.IP+".log"),
	}
}

// writeSettings writes the settings file for the first start of the whole system, or for
// a later one.
func (p *Process) writeSettings(firstStart bool) error {
	boot, err := standin.WriteSettings(p.folder, p.Machine, p.seeds, p.ports, firstStart)
	p.boot = boot
	return errors.Annotate(err, "write settings")
}

// raceOptions keep a program with the race detector from sleeping for a second before it
// exits, which would count against its grace period.
const raceOptions = "atexit_sleep_ms=0"

// Start starts the process.
func (p *Process) Start() error {
	role := map[bool]string{false: "gateway", true: "coordinator"}[p.Machine.Core]
	command := exec.Command(p.binary, role)
	command.Env = append(os.Environ(), standin.Environment(p.boot), "GORACE="+raceOptions)
	started, err := process.Start(p.folder, p.Machine.IP, command)
	if err != nil {
		return errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = started
	return nil
}

func (p *Process) currentProcess() *process.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Signal sends a signal to the process ID.
func (p *Process) Signal(signal syscall.Signal) error { return p.currentProcess().Signal(signal) }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() error { return p.currentProcess().Kill() }

// Stop sends SIGTERM, and SIGKILL after the grace period. It returns an error if
// the process was killed or its exit code was not 0.
func (p *Process) Stop(grace time.Duration) error { return p.currentProcess().Stop(grace) }

// Running reports whether the process has not exited.
func (p *Process) Running() bool { return p.currentProcess().Running() }

// PID returns the ID of the running process.
func (p *Process) PID() int { return p.currentProcess().PID() }
