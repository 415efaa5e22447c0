// Package process starts the programs under test and sends them signals.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is a child process of the test. Signals are sent to its process ID.
type Process struct {
	Name    string
	LogFile string // its output, appended across restarts
	command *exec.Cmd
	exited  chan struct{} // closed when the process has exited
}

// Start runs a command with its output appended to dir/<name>.log.
func Start(dir, name string, command *exec.Cmd) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer output.Close()
	p := &Process{Name: name, LogFile: path, command: command, exited: make(chan struct{})}
	p.command.Stdout = output
	p.command.Stderr = output
	if err := p.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	go func() {
		_ = p.command.Wait() // the exit code is read from ProcessState
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal. It does nothing if the process has exited.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Annotatef(err, "signal to %s", p.Name)
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Stop sends SIGTERM, and SIGKILL after the given time. It returns an error if
// the process was killed or its exit code was not 0.
func (p *Process) Stop(within time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(within):
		_ = p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, within)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s exited with code %d", p.Name, code)
	}
	return nil
}

// KillIfRunning kills the process if it was started and has not exited.
func (p *Process) KillIfRunning() {
	if p != nil && p.Running() {
		_ = p.Kill() // it may exit by itself in between
	}
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Log returns the output of the process.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
