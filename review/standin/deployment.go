package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines; each machine has a loopback address of its own.
type ports struct{ frontend, readiness, control, link int }

// machine is one process of the system.
type machine struct {
	role, ip, zone string
	command        *exec.Cmd
	exited         chan struct{}
}

// deployment is a small deployment of the system: coordinators and gateways as
// separate processes, with the commands of the deploy file.
type deployment struct {
	rec          *record
	root         string // of the repository
	folder       string // temporary: settings, data and logs
	network      string // first three octets
	ports        ports
	coordinators []*machine
	gateways     []*machine
	seeds        []string
	operator     *client
	mu           sync.Mutex
}

func newDeployment(rec *record, root string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "hawthorn-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, folder: folder}
	pid := os.Getpid()
	d.network = fmt.Sprintf("127.%d.%d", 90+pid%100, 1+pid/100%250)
	d.operator = newClient(rec, "operator")
	return d, d.choosePorts()
}

// choosePorts finds a range of ports that are free on all addresses of the deployment.
func (d *deployment) choosePorts() error {
	for base := 17100; base < 30000; base += 100 {
		if d.free(base) {
			d.ports = ports{frontend: base, readiness: base + 1, control: base + 2, link: base + 20}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (d *deployment) free(base int) bool {
	for _, host := range []int{10, 11, 12, 30, 31} {
		for _, port := range []int{base, base + 1, base + 2, base + 20, base + 21} {
			listener, err := net.Listen("tcp", net.JoinHostPort(d.ip(host), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s.%d", d.network, host) }

var zones = []string{"zone-a", "zone-b", "zone-c"}

// start starts the processes. Coordinators and gateways are spread over the zones.
func (d *deployment) start(coordinators, gateways int) error {
	for i := range coordinators {
		d.seeds = append(d.seeds, net.JoinHostPort(d.ip(10+i), strconv.Itoa(d.ports.control)))
	}
	for i := range coordinators {
		d.coordinators = append(d.coordinators, &machine{role: "coordinator", ip: d.ip(10 + i), zone: zones[i%len(zones)]})
	}
	for i := range gateways {
		d.gateways = append(d.gateways, &machine{role: "gateway", ip: d.ip(30 + i), zone: zones[i%len(zones)]})
	}
	for _, m := range append(append([]*machine{}, d.coordinators...), d.gateways...) {
		if err := d.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startMachine(m *machine, first bool) error {
	settings, err := d.writeSettings(m, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(filepath.Join(d.root, "target", "hawthorn-platform"), m.role)
	m.command.Dir = d.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "HAWTHORNSHORE_BOOT=" + settings}
	m.command.Stdout, m.command.Stderr = log, log
	// The processes also end if this one is killed.
	m.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
	d.rec.add("process started: %s %s in %s", m.role, m.ip, m.zone)
	return nil
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(m *machine) {
	d.rec.add("process killed: %s %s", m.role, m.ip)
	_ = m.command.Process.Kill()
	<-m.exited
}

// loseDisk kills a process that serves control, empties its data folder and starts it
// again at its old address.
func (d *deployment) loseDisk(ctx context.Context, m *machine, down time.Duration) error {
	d.kill(m)
	data := filepath.Join(d.folder, "data-"+m.ip)
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	d.rec.add("disk lost: %s", m.ip)
	if err := sleep(ctx, down); err != nil {
		return err
	}
	return d.startMachine(m, false)
}

// writeSettings writes the settings file of a machine, with the fields and bounds of
// a small deployment.
func (d *deployment) writeSettings(m *machine, first bool) (string, error) {
	var text strings.Builder
	class, serves, disk := "edge", "edge", 0
	if m.role == "coordinator" {
		class, serves, disk = "core", "control", 128
	}
	quoted := make([]string, 0, len(d.seeds))
	for _, seed := range d.seeds[:min(len(d.seeds), 3)] {
		quoted = append(quoted, strconv.Quote(seed))
	}
	fmt.Fprintf(&text, "node-name = %q\nrole = %q\nmachine-class = %q\nserves = [%q]\n", class+"-"+m.ip, m.role, class, serves)
	fmt.Fprintf(&text, "ip = %q\nzone = %q\nregion = \"region-1\"\n", m.ip, m.zone)
	fmt.Fprintf(&text, "internal-ports = [%d,%d]\n", d.ports.link, d.ports.link+15)
	fmt.Fprintf(&text, "seeds = [%s]\n", strings.Join(quoted, ","))
	fmt.Fprintf(&text, "bootstrap = %t\nin-quorum = %t\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat-ms = 1500\n", first, disk > 0)
	fmt.Fprintf(&text, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\nconfig_mode = \"highest\"\norders = \"invocation\"\n")
	if disk > 0 {
		data := filepath.Join(d.folder, "data-"+m.ip)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
		fmt.Fprintf(&text, "data-dir = %q\n", data)
	}
	fmt.Fprintf(&text, "[zones]\nzone-a = \"region-1\"\nzone-b = \"region-1\"\nzone-c = \"region-1\"\n[bind-addresses]\n")
	if disk > 0 {
		fmt.Fprintf(&text, "control = \"%s:%d\"\n", m.ip, d.ports.control)
	} else {
		fmt.Fprintf(&text, "frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, d.ports.frontend, m.ip, d.ports.readiness)
	}
	fmt.Fprintf(&text, "[limits]\ncpu-share = 0.8\ncores = 1\nmemory-mb = 284\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = %d\n", disk)
	fmt.Fprintf(&text, "[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&text, "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n"+
		"grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nmax-stretch-ms = 5000\nrecovery-s = 12\n"+
		"max-hold-ms = %d\nstop-timeout-ms = %d\ngang-timeout-ms = 3000\ncancel_ms = %d\nvisible_ms = %d\nearly_ms = 250\n"+
		"finish_s = %d\nstatus_s = 120\nremote-factor = 1.5\ncheckpoint-s = 2\nrestore-ms = 600\nnotice-ms = 4500\n"+
		"require-fencing = false\nlease-ms = 3000\nthaw-slack-ms = 300\nretry-ms = 1300\n",
		maxHoldMS, stopTimeoutMS, cancelMS, visibleMS, finishS)
	path := filepath.Join(d.folder, m.ip+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o644)
}

// Bounds of the settings, those of the sheets of the small sites.
const (
	maxHoldMS     = 1000
	stopTimeoutMS = 50
	cancelMS      = 3000
	visibleMS     = 3000
	finishS       = 14
)

// close ends all processes and removes the folder. Logs are kept if KEEP_LOGS names
// a folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range append(append([]*machine{}, d.coordinators...), d.gateways...) {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		logs, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
		for _, log := range logs {
			if data, err := os.ReadFile(log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// serve sends the first config until it is accepted, and waits until all gateways are ready.
func (d *deployment) serve(ctx context.Context, config map[string]any) error {
	for accepted := false; !accepted; {
		for _, c := range d.coordinators {
			status, _ := d.operator.call(ctx, "POST", d.control(c)+"/Config.Replace", "", config, time.Second)
			if accepted = status/100 == 2; accepted {
				break
			}
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		for {
			status, _ := d.operator.call(ctx, "GET", fmt.Sprintf("http://%s:%d/readiness", g.ip, d.ports.readiness), "", nil, time.Second)
			if status == 200 {
				break
			}
			if err := sleep(ctx, 200*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) control(m *machine) string {
	return fmt.Sprintf("http://%s:%d", m.ip, d.ports.control)
}

func (d *deployment) frontend(m *machine) string {
	return fmt.Sprintf("http://%s:%d", m.ip, d.ports.frontend)
}

func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
