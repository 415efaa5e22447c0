package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/platform/standin"
)

// Process is a gateway or a coordinator.
type Process struct {
	Machine standin.Machine
	binary  string
	boot    string // settings file
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	defer log.Close()
	role := map[bool]string{false: "gateway", true: "coordinator"}[p.Machine.Core]
	p.command = exec.Command(p.binary, role)
	p.command.Env = append(os.Environ(), standin.Environment(p.boot))
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return errors.Annotatef(err, "start %s", p.Machine.IP)
	}
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	go func() {
		_ = command.Wait() // the exit code of a killed process says nothing
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, by its ID.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Annotatef(p.command.Process.Signal(signal), "signal %s", p.Machine.IP)
}

// Kill ends the process at once.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Terminate asks the process to end and waits for that.
func (p *Process) Terminate(grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(grace):
		return errors.Timeoutf("end of %s", p.Machine.IP)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func newProcess(folder, binary, boot string, machine standin.Machine) *Process {
	return &Process{
		Machine: machine, binary: binary, boot: boot,
		log: filepath.Join(folder, machine.IP+".log"),
	}
}
