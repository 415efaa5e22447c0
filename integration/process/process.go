// Package process runs the programs under test and sends them signals.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is a program that the test process started. All signals go to its
// process ID.
type Process struct {
	Name    string
	LogFile string // its output, appended across restarts
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// Start runs a command with its output appended to dir/<name>.log.
func Start(dir, name string, command *exec.Cmd) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer log.Close()
	p := &Process{Name: name, LogFile: path, command: command, ended: make(chan struct{})}
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	go func() {
		_ = p.command.Wait() // the exit code is read from ProcessState
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Annotatef(err, "signal to %s", p.Name)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Stop asks the process to end, and kills it after the given time. It returns
// an error if it was killed or its exit code was not 0.
func (p *Process) Stop(within time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(within):
		_ = p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, within)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return errors.Errorf("%s ended with code %d", p.Name, code)
	}
	return nil
}

// KillIfRunning kills the process, if it was started and has not ended.
func (p *Process) KillIfRunning() {
	if p != nil && p.Running() {
		_ = p.Kill() // it may end by itself in between
	}
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Log returns what the process has logged.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
