package integration

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/emulator"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/integration/process"
)

// Target is an emulated target that runs as a process behind a proxy.
type Target struct {
	ID    string
	Proxy *faultproxy.Proxy // between the instances and the target

	cluster *Cluster
	process *process.Process
	record  string
	address string // listen address, behind the proxy
	args    []string
}

// AddTarget starts a target with additional command-line arguments.
func (c *Cluster) AddTarget(id string, slots int, args ...string) (*Target, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, errors.Trace(err)
	}
	proxy, err := faultproxy.New(addresses[0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Target{
		ID: id, Proxy: proxy, cluster: c, address: addresses[0],
		record: filepath.Join(c.dir, id+".starts"),
		args:   append([]string{"--slots", strconv.Itoa(slots)}, args...),
	}
	c.Targets[id] = t
	return t, t.Start()
}

// Start starts the target. After a restart it has the same address and start
// record and a new incarnation.
func (t *Target) Start() error {
	args := []string{
		"--id", t.ID, "--listen", t.address, "--advertise", t.Proxy.Address(),
		"--data-centre", DataCentre, "--worker", "worker-" + t.ID, "--rack", "rack-1",
		"--cores", "4", "--mb", "1024", "--start-record", t.record,
	}
	for _, entry := range t.cluster.httpAddresses() {
		args = append(args, "--entry", entry)
	}
	p, err := process.Start(t.cluster.dir, t.ID, exec.Command(t.cluster.programs.Target, append(args, t.args...)...))
	if err != nil {
		return errors.Trace(err)
	}
	t.process = p
	return nil
}

// Kill sends SIGKILL and waits for the process to exit.
func (t *Target) Kill() error { return t.process.Kill() }

// Pause suspends the process with SIGSTOP.
func (t *Target) Pause() error { return t.process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (t *Target) Resume() error { return t.process.Signal(syscall.SIGCONT) }

// Leave makes the target leave (SIGTERM) and returns the time of the signal.
func (t *Target) Leave() (time.Time, error) { return time.Now(), t.process.Signal(syscall.SIGTERM) }

// Running reports whether the target's process has not exited.
func (t *Target) Running() bool { return t.process.Running() }

// Starts returns the lines of the target's start record.
func (t *Target) Starts() ([]emulator.StartLine, error) { return emulator.ReadStartRecord(t.record) }
