package system

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/emulator"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/operatorapi"
)

const (
	// startTimeout bounds the wait for a cluster or an instance to become ready.
	startTimeout = 20 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 15 * time.Second
	// inForceTimeout is the goal for a change to be in force after a fault (G8).
	inForceTimeout = 8 * time.Second
	// The ports are below the ephemeral port range, so that no outgoing connection
	// takes the port of an instance that is down.
	httpPort   = 7400
	linkPort   = 7401
	targetPort = 7500
)

// instanceSpec describes an instance of a cluster.
type instanceSpec struct {
	name, dataCentre string
	voter            bool
}

// instance is an entry instance that runs as a process.
type instance struct {
	instanceSpec
	host    string
	process *process
}

func (i *instance) http() string { return fmt.Sprintf("%s:%d", i.host, httpPort) }
func (i *instance) link() string { return fmt.Sprintf("%s:%d", i.host, linkPort) }

// cluster is a set of processes, with a proxy for each ordered pair of instances
// in front of the link address of the second.
type cluster struct {
	dir       string
	subnet    string // first three octets of the addresses
	names     []string
	instances map[string]*instance
	proxies   map[[2]string]*faultproxy.Proxy // by dialling and accepting instance
	targets   []*process
	records   []string
}

// clusters is the number of clusters in this process; each has its own addresses.
var clusters int

// newCluster configures instances; their processes are killed at the end of the spec.
func newCluster(specs ...instanceSpec) *cluster {
	clusters++
	pid := os.Getpid()
	cluster := &cluster{
		dir:       GinkgoT().TempDir(),
		subnet:    fmt.Sprintf("127.%d.%d", 32+pid%200, (pid/200*16+clusters)%256),
		instances: make(map[string]*instance),
		proxies:   make(map[[2]string]*faultproxy.Proxy),
	}
	for n, s := range specs {
		cluster.names = append(cluster.names, s.name)
		cluster.instances[s.name] = &instance{instanceSpec: s, host: fmt.Sprintf("%s.%d", cluster.subnet, n+1)}
	}
	cluster.write("config/10-system.ini", "[class.urgent]\nrank = 0\n[tenant.desk]\nweight = 1\n")
	for _, name := range cluster.names {
		cluster.writeSettings(cluster.instances[name])
	}
	DeferCleanup(cluster.close)
	return cluster
}

func (c *cluster) write(name, text string) {
	path := filepath.Join(c.dir, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
}

// writeSettings puts a proxy in front of every peer and writes the instance's settings.
func (c *cluster) writeSettings(i *instance) {
	var text strings.Builder
	fmt.Fprintf(&text, "[instance]\nname = %s\ndata_centre = %s\nlisten_http = %s\nlisten_link = %s\n",
		i.name, i.dataCentre, i.http(), i.link())
	if i.voter {
		fmt.Fprintf(&text, "data_folder = %s\n", c.dataFolder(i.name))
	}
	text.WriteString("[limits]\ndrain_timeout = 12s\n")
	for _, name := range c.names {
		if name == i.name {
			continue
		}
		peer := c.instances[name]
		proxy, err := faultproxy.New(peer.link())
		Expect(err).NotTo(HaveOccurred())
		c.proxies[[2]string{i.name, name}] = proxy
		fmt.Fprintf(&text, "[peer.%s]\nlink = %s\ndata_centre = %s\nvoter = %t\n", name, proxy.Address(), peer.dataCentre, peer.voter)
	}
	c.write("settings-"+i.name+"/10-instance.ini", text.String())
}

func (c *cluster) dataFolder(name string) string { return filepath.Join(c.dir, "data-"+name) }

// start starts instances that are not running.
func (c *cluster) start(names ...string) {
	for _, name := range names {
		c.instances[name].process = c.run(name, "hawthornd",
			"--settings", filepath.Join(c.dir, "settings-"+name), "--config", filepath.Join(c.dir, "config"))
	}
}

// addTarget starts an emulated target that announces itself to all instances in
// its data centre.
func (c *cluster) addTarget(dataCentre string, slots int) {
	id := fmt.Sprintf("target-%d", len(c.targets)+1)
	record := filepath.Join(c.dir, id+".starts")
	args := []string{
		"--id", id, "--listen", fmt.Sprintf("%s.%d:%d", c.subnet, 101+len(c.targets), targetPort), "--data-centre", dataCentre,
		"--worker", "worker-" + id, "--rack", "rack-1", "--slots", fmt.Sprint(slots),
		"--cores", "4", "--mb", "1024", "--start-record", record,
	}
	for _, name := range c.names {
		if c.instances[name].dataCentre == dataCentre {
			args = append(args, "--entry", c.instances[name].http())
		}
	}
	c.records = append(c.records, record)
	c.targets = append(c.targets, c.run(id, "hawthorn-target", args...))
}

// starts returns the lines of all start records.
func (c *cluster) starts() []emulator.StartLine {
	var all []emulator.StartLine
	for _, record := range c.records {
		lines, err := emulator.ReadStartRecord(record)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, lines...)
	}
	return all
}

func (c *cluster) kill(name string)   { c.instances[name].process.kill() }
func (c *cluster) pause(name string)  { c.instances[name].process.signal(syscall.SIGSTOP) }
func (c *cluster) resume(name string) { c.instances[name].process.signal(syscall.SIGCONT) }

// setFault sets a fault on all bytes from one instance to another, whichever dialled.
func (c *cluster) setFault(from, to string, fault faultproxy.Fault, scope faultproxy.Scope) {
	c.proxies[[2]string{from, to}].Set(faultproxy.ToServer, fault, scope)
	c.proxies[[2]string{to, from}].Set(faultproxy.ToClient, fault, scope)
}

// setFaultBetween sets a fault on both directions between two groups of instances.
func (c *cluster) setFaultBetween(group, others []string, kind faultproxy.Kind, scope faultproxy.Scope) {
	for _, a := range group {
		for _, b := range others {
			c.setFault(a, b, faultproxy.Fault{Kind: kind}, scope)
			c.setFault(b, a, faultproxy.Fault{Kind: kind}, scope)
		}
	}
}

// isolate drops all traffic between an instance and the others until rejoin.
func (c *cluster) isolate(name string) {
	c.setFaultBetween([]string{name}, c.others(name), faultproxy.Drop, faultproxy.ExistingAndNew)
}

func (c *cluster) rejoin(name string) {
	c.setFaultBetween([]string{name}, c.others(name), faultproxy.Forward, faultproxy.ExistingAndNew)
}

// others returns the names of all instances but the given ones.
func (c *cluster) others(than ...string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return slices.Contains(than, name) })
}

// waitReady waits until instances report that they are ready.
func (c *cluster) waitReady(names ...string) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(func() int {
			status, _ := call(http.MethodGet, c.instances[name].http(), "/readyz", nil, nil)
			return status
		}, startTimeout).Should(Equal(http.StatusOK), "readiness of %s", name)
	}
}

// leader waits until one of the given instances is the leader in the highest term
// that any of them reports, and returns its name.
func (c *cluster) leader(among ...string) string {
	GinkgoHelper()
	var leader string
	Eventually(func() string {
		leader = ""
		var term uint64
		for _, name := range among {
			var status operatorapi.Status
			if code, _ := call(http.MethodGet, c.instances[name].http(), operatorapi.PathStatus, nil, &status); code != http.StatusOK {
				continue
			}
			if status.Voter && status.Term >= term && status.Leader != "" {
				term, leader = status.Term, status.Leader
			}
		}
		if !slices.Contains(among, leader) {
			leader = ""
		}
		return leader
	}, startTimeout).ShouldNot(BeEmpty(), "leader among %v", among)
	return leader
}

// status waits for the status of an instance and returns it.
func (c *cluster) status(name string) operatorapi.Status {
	GinkgoHelper()
	var status operatorapi.Status
	Eventually(func() int {
		code, _ := call(http.MethodGet, c.instances[name].http(), operatorapi.PathStatus, nil, &status)
		return code
	}, startTimeout).Should(Equal(http.StatusOK), "status of %s", name)
	return status
}

// close kills all processes of the cluster.
func (c *cluster) close() {
	all := slices.Clone(c.targets)
	for _, i := range c.instances {
		all = append(all, i.process)
	}
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
	for _, proxy := range slices.Collect(maps.Values(c.proxies)) {
		_ = proxy.Close()
	}
}

// showLogs adds the tails of the logs to the report of a failed spec.
func (c *cluster) showLogs() {
	const tail = 5000 // bytes per log
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, name := range c.names {
		data, _ := os.ReadFile(filepath.Join(c.dir, name+".log"))
		AddReportEntry(name, string(data[max(0, len(data)-tail):]))
	}
}

// process is a child process of the test.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{} // closed when the process has exited
}

func (c *cluster) run(name, program string, args ...string) *process {
	GinkgoHelper()
	output, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer output.Close()
	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), args...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	Expect(p.command.Start()).To(Succeed())
	go func() {
		_ = p.command.Wait() // the exit code is read from ProcessState
		close(p.exited)
	}()
	return p
}

func (p *process) signal(signal syscall.Signal) {
	GinkgoHelper()
	Expect(p.command.Process.Signal(signal)).To(Succeed(), "signal to %s", p.name)
}

// kill sends SIGKILL, which also ends a paused process, and waits for the exit.
func (p *process) kill() {
	_ = p.command.Process.Kill() // an error means that it has exited
	<-p.exited
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// expectCleanExit waits until the process has exited and expects exit code 0.
func (p *process) expectCleanExit() {
	GinkgoHelper()
	Eventually(p.exited, stopTimeout).Should(BeClosed(), "exit of %s", p.name)
	Expect(p.command.ProcessState.ExitCode()).To(Equal(0), "exit code of %s", p.name)
}
