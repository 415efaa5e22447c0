package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const binary = "target/hawthorn-platform"

// commands are those of deploy/system.toml.
var commands = map[bool][]string{
	false: {"gateway"},
	true:  {"coordinator", "--target-speeds", "--queue-order=cost"},
}

// Ports of the machines. Each machine has its own range of internal ports, so that a
// proxy stands in each link: machine i dials the address of machine j at its own link
// port, where the proxy listens.
const (
	frontendPort  = 8161
	readinessPort = 8167
	controlPort   = 8166
	firstLinkPort = 7720
	linkPortStep  = 16
)

// machine is a process of the deployment.
type machine struct {
	name, ip, zone string
	core           bool
	linkPort       int
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ending  bool // the test ends it
	ownEnds int  // ends that the test did not cause
}

// cluster is a small deployment: an operator, machines, runners and clients.
type cluster struct {
	record  *record
	folder  string
	network string // the first three octets
	cores   []*machine
	edges   []*machine
	spares  []*machine // coordinators that are not started with the others
	runners []*runner
	links   map[[2]string]*proxy // by the names of the dialling and the listening machine
	seeds   []string
	first   bool // bootstrap in the settings
	routes  []map[string]any
	version int
	closers []func()
}

// newCluster starts coordinators and gateways, which are spread over the zones. A spare
// coordinator has an address and links only.
func newCluster(rec *record, cores, spares, edges, zones int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, folder: folder, links: map[[2]string]*proxy{}, first: true}
	if c.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	for i := range cores + spares + edges {
		m := &machine{
			ip: fmt.Sprintf("%s.%d", c.network, 10+i), zone: fmt.Sprintf("zone-%d", i%zones+1), core: i < cores+spares,
			linkPort: firstLinkPort + linkPortStep*i,
		}
		switch {
		case i < cores:
			m.name = fmt.Sprintf("core-%d", i+1)
			c.cores = append(c.cores, m)
		case m.core:
			m.name = fmt.Sprintf("core-%d", i+1)
			c.spares = append(c.spares, m)
		default:
			m.zone = fmt.Sprintf("zone-%d", (i-cores-spares)%zones+1)
			m.name = fmt.Sprintf("edge-%d", i-cores-spares+1)
			c.edges = append(c.edges, m)
		}
	}
	for _, m := range c.cores[:min(3, len(c.cores))] {
		c.seeds = append(c.seeds, m.ip)
	}
	for _, from := range append(c.machines(), c.spares...) {
		for _, to := range append(append([]*machine{}, c.cores...), c.spares...) {
			if from == to {
				continue
			}
			p, err := newProxy(fmt.Sprintf("%s:%d", to.ip, from.linkPort), fmt.Sprintf("%s:%d", to.ip, to.linkPort))
			if err != nil {
				return nil, err
			}
			c.links[[2]string{from.name, to.name}] = p
			c.closers = append(c.closers, p.close)
		}
	}
	for _, m := range c.machines() {
		if err := c.writeSettings(m); err != nil {
			return nil, err
		}
		if err := c.start(m); err != nil {
			return nil, err
		}
	}
	c.first = false // in the settings of later starts
	return c, nil
}

// restart starts a machine again, with the settings in effect now.
func (c *cluster) restart(m *machine) error {
	if err := c.writeSettings(m); err != nil {
		return err
	}
	return c.start(m)
}

func (c *cluster) machines() []*machine {
	return append(append([]*machine{}, c.cores...), c.edges...)
}

// freeNetwork returns a loopback network on which the fixed ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), 1+rand.IntN(250))
		free := true
		for host := 10; host < 20 && free; host++ {
			for _, port := range []int{frontendPort, controlPort, firstLinkPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func (c *cluster) writeSettings(m *machine) error {
	var t strings.Builder
	class, role := "edge", "gateway"
	if m.core {
		class, role = "core", "coordinator"
	}
	fmt.Fprintf(&t, "node-name = %q\nrole = %q\nmachine-class = %q\nip = %q\nzone = %q\nregion = \"r\"\n", m.name, role, class, m.ip, m.zone)
	fmt.Fprintf(&t, "internal-ports = [%d,%d]\nbootstrap = %t\nin-quorum = %t\ndiscovery = \"registry\"\nheartbeat-ms = 1500\n", m.linkPort, m.linkPort+linkPortStep-1, c.first, m.core)
	var seeds []string
	for _, seed := range c.seeds {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", seed, controlPort))
	}
	fmt.Fprintf(&t, "seeds = [%s]\nconfig_mode = \"highest\"\norders = \"invocation\"\n", strings.Join(seeds, ","))
	if m.core {
		data := c.dataFolder(m)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		fmt.Fprintf(&t, "data-dir = %q\nserves = [\"control\"]\n[bind-addresses]\ncontrol = \"%s:%d\"\n", data, m.ip, controlPort)
	} else {
		fmt.Fprintf(&t, "serves = [\"edge\"]\n[bind-addresses]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, frontendPort, m.ip, readinessPort)
	}
	t.WriteString("[limits]\ncpu-share = 0.8\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\n")
	t.WriteString("[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	t.WriteString("[bounds]\nseed-lag-s = 3\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 6\n" +
		"config-apply-ms = 2000\nrecovery-s = 12\nmax-hold-ms = 1000\nstop-timeout-ms = 50\ncancel_ms = 3000\nvisible_ms = 3000\n" +
		"finish_s = 14\nstatus_s = 120\nremote-factor = 3\nlease-ms = 3000\nretry-ms = 1300\n")
	m.settings = filepath.Join(c.folder, m.name+".toml")
	return os.WriteFile(m.settings, []byte(t.String()), 0o644)
}

func (c *cluster) dataFolder(m *machine) string { return filepath.Join(c.folder, "data-"+m.name) }

// start starts a machine's process.
func (c *cluster) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(binary, commands[m.core]...)
	command.Env = append(os.Environ(), "HAWTHORNSHORE_BOOT="+m.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.ending = command, exited, false
	m.mu.Unlock()
	c.record.note("machine %s starts", m.name)
	go func() {
		err := command.Wait()
		m.mu.Lock()
		if !m.ending {
			m.ownEnds++
			c.record.note("machine %s ended by itself: %v", m.name, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill ends a machine's process with SIGKILL.
func (c *cluster) kill(m *machine) {
	m.mu.Lock()
	m.ending = true
	process, exited := m.process, m.exited
	m.mu.Unlock()
	c.record.note("machine %s gets SIGKILL", m.name)
	_ = process.Process.Kill()
	<-exited
}

// terminate stops a machine's process with SIGTERM, and SIGKILL after grace-s.
func (c *cluster) terminate(m *machine) {
	m.mu.Lock()
	m.ending = true
	process, exited := m.process, m.exited
	m.mu.Unlock()
	c.record.note("machine %s gets SIGTERM", m.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = process.Process.Kill()
		<-exited
	}
}

func (c *cluster) signal(m *machine, s syscall.Signal) {
	c.record.note("machine %s gets %s", m.name, s)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s)
}

// cut holds back all bytes between two machines in both directions, or ends that.
func (c *cluster) cut(a, b *machine, on bool) {
	for _, key := range [][2]string{{a.name, b.name}, {b.name, a.name}} {
		if p := c.links[key]; p != nil {
			p.cut(on)
		}
	}
}

// cutCores cuts a machine off from all other coordinators, or ends that.
func (c *cluster) cutCores(m *machine, on bool) {
	c.record.note("machine %s cut off from the other coordinators: %t", m.name, on)
	for _, other := range c.cores {
		if other != m {
			c.cut(m, other, on)
		}
	}
}

// addRunner starts a runner.
func (c *cluster) addRunner(options runnerOptions) error {
	var control []string
	for _, m := range c.cores {
		control = append(control, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	// Each runner begins at another coordinator.
	shift := len(c.runners) % len(control)
	control = append(append([]string{}, control[shift:]...), control[:shift]...)
	r, err := startRunner(options, c.network+".200", c.record, control)
	if err == nil {
		c.runners = append(c.runners, r)
	}
	return err
}

// logs returns the lines of a machine's log that contain a text.
func (c *cluster) logs(m *machine, text string) []string {
	data, err := os.ReadFile(filepath.Join(c.folder, m.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// close ends everything that the test has started, and removes its files unless
// REVIEW_KEEP is set.
func (c *cluster) close() {
	for _, r := range c.runners {
		close(r.stopped)
	}
	for _, m := range append(c.machines(), c.spares...) {
		m.mu.Lock()
		m.ending = true
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
	}
	for _, f := range c.closers {
		f()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}
