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
	// startLimit bounds the wait for a fleet or an instance to become ready.
	startLimit = 20 * time.Second
	// stopLimit is how long a process gets for a graceful stop.
	stopLimit = 15 * time.Second
	// inForceLimit is the target for a change after the end of a fault (G8).
	inForceLimit = 8 * time.Second
	// The ports are below the range of outgoing connections, so that no
	// connection takes the port of an instance that is down.
	httpPort   = 7400
	linkPort   = 7401
	targetPort = 7500
)

// spec describes an instance of a fleet.
type spec struct {
	name, centre string
	voter        bool
}

// instance is an entry instance that runs as a process.
type instance struct {
	spec
	host    string
	process *process
}

func (i *instance) http() string { return fmt.Sprintf("%s:%d", i.host, httpPort) }
func (i *instance) link() string { return fmt.Sprintf("%s:%d", i.host, linkPort) }

// fleet is a set of processes with a proxy on the link of each ordered pair of
// instances.
type fleet struct {
	dir       string
	net       string // the first three numbers of the addresses
	names     []string
	instances map[string]*instance
	proxies   map[[2]string]*faultproxy.Proxy // by dialling and dialled instance
	targets   []*process
	records   []string
}

// fleets counts the fleets of this process, to give each its own addresses.
var fleets int

// newFleet prepares instances; they are stopped at the end of the spec.
func newFleet(specs ...spec) *fleet {
	fleets++
	pid := os.Getpid()
	f := &fleet{
		dir:       GinkgoT().TempDir(),
		net:       fmt.Sprintf("127.%d.%d", 32+pid%200, (pid/200*16+fleets)%256),
		instances: make(map[string]*instance),
		proxies:   make(map[[2]string]*faultproxy.Proxy),
	}
	for n, s := range specs {
		f.names = append(f.names, s.name)
		f.instances[s.name] = &instance{spec: s, host: fmt.Sprintf("%s.%d", f.net, n+1)}
	}
	f.write("config/10-system.ini", "[class.urgent]\nrank = 0\n[tenant.desk]\nweight = 1\n")
	for _, name := range f.names {
		f.connect(f.instances[name])
	}
	DeferCleanup(f.close)
	return f
}

func (f *fleet) write(name, text string) {
	path := filepath.Join(f.dir, name)
	Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
	Expect(os.WriteFile(path, []byte(text), 0o644)).To(Succeed())
}

// connect places a proxy before every peer and writes the settings.
func (f *fleet) connect(i *instance) {
	var text strings.Builder
	fmt.Fprintf(&text, "[instance]\nname = %s\ndata_centre = %s\nlisten_http = %s\nlisten_link = %s\n",
		i.name, i.centre, i.http(), i.link())
	if i.voter {
		fmt.Fprintf(&text, "data_folder = %s\n", f.dataFolder(i.name))
	}
	text.WriteString("[limits]\ndrain_timeout = 12s\n")
	for _, name := range f.names {
		if name == i.name {
			continue
		}
		peer := f.instances[name]
		proxy, err := faultproxy.New(peer.link())
		Expect(err).NotTo(HaveOccurred())
		f.proxies[[2]string{i.name, name}] = proxy
		fmt.Fprintf(&text, "[peer.%s]\nlink = %s\ndata_centre = %s\nvoter = %t\n", name, proxy.Address(), peer.centre, peer.voter)
	}
	f.write("settings-"+i.name+"/10-instance.ini", text.String())
}

func (f *fleet) dataFolder(name string) string { return filepath.Join(f.dir, "data-"+name) }

// start runs instances that are not running.
func (f *fleet) start(names ...string) {
	for _, name := range names {
		f.instances[name].process = f.run(name, "hawthornd",
			"--settings", filepath.Join(f.dir, "settings-"+name), "--config", filepath.Join(f.dir, "config"))
	}
}

// addTarget starts an emulated target that announces itself to all instances of
// its data centre.
func (f *fleet) addTarget(centre string, slots int) {
	id := fmt.Sprintf("target-%d", len(f.targets)+1)
	record := filepath.Join(f.dir, id+".starts")
	args := []string{
		"--id", id, "--listen", fmt.Sprintf("%s.%d:%d", f.net, 101+len(f.targets), targetPort), "--data-centre", centre,
		"--worker", "worker-" + id, "--rack", "rack-1", "--slots", fmt.Sprint(slots),
		"--cores", "4", "--mb", "1024", "--start-record", record,
	}
	for _, name := range f.names {
		if f.instances[name].centre == centre {
			args = append(args, "--entry", f.instances[name].http())
		}
	}
	f.records = append(f.records, record)
	f.targets = append(f.targets, f.run(id, "hawthorn-target", args...))
}

// starts returns all lines of all start records.
func (f *fleet) starts() []emulator.StartLine {
	var all []emulator.StartLine
	for _, record := range f.records {
		lines, err := emulator.ReadStartRecord(record)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, lines...)
	}
	return all
}

func (f *fleet) kill(name string)   { f.instances[name].process.kill() }
func (f *fleet) freeze(name string) { f.instances[name].process.signal(syscall.SIGSTOP) }
func (f *fleet) thaw(name string)   { f.instances[name].process.signal(syscall.SIGCONT) }

// oneWay puts a fault on what one instance sends to another, whoever dialled.
func (f *fleet) oneWay(from, to string, fault faultproxy.Fault, scope faultproxy.Scope) {
	f.proxies[[2]string{from, to}].Set(faultproxy.ToServer, fault, scope)
	f.proxies[[2]string{to, from}].Set(faultproxy.ToClient, fault, scope)
}

// between puts a fault on both ways between two groups of instances.
func (f *fleet) between(group, others []string, kind faultproxy.Kind, scope faultproxy.Scope) {
	for _, a := range group {
		for _, b := range others {
			f.oneWay(a, b, faultproxy.Fault{Kind: kind}, scope)
			f.oneWay(b, a, faultproxy.Fault{Kind: kind}, scope)
		}
	}
}

// isolate cuts an instance off from all others, and rejoin ends it.
func (f *fleet) isolate(name string) {
	f.between([]string{name}, f.others(name), faultproxy.Drop, faultproxy.ExistingAndNew)
}

func (f *fleet) rejoin(name string) {
	f.between([]string{name}, f.others(name), faultproxy.Forward, faultproxy.ExistingAndNew)
}

// others returns the names of all instances but the given ones.
func (f *fleet) others(than ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(name string) bool { return slices.Contains(than, name) })
}

// waitReady waits until instances report that they are ready.
func (f *fleet) waitReady(names ...string) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(func() int {
			status, _ := call(http.MethodGet, f.instances[name].http(), "/readyz", nil, nil)
			return status
		}, startLimit).Should(Equal(http.StatusOK), "readiness of %s", name)
	}
}

// leader waits until an instance that runs says that it is the leader, of the
// newest term that any of them knows, and returns its name.
func (f *fleet) leader(among ...string) string {
	GinkgoHelper()
	var leader string
	Eventually(func() string {
		leader = ""
		var term uint64
		for _, name := range among {
			var status operatorapi.Status
			if code, _ := call(http.MethodGet, f.instances[name].http(), operatorapi.PathStatus, nil, &status); code != http.StatusOK {
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
	}, startLimit).ShouldNot(BeEmpty(), "leader among %v", among)
	return leader
}

// status returns what an instance says of itself.
func (f *fleet) status(name string) operatorapi.Status {
	GinkgoHelper()
	var status operatorapi.Status
	Eventually(func() int {
		code, _ := call(http.MethodGet, f.instances[name].http(), operatorapi.PathStatus, nil, &status)
		return code
	}, startLimit).Should(Equal(http.StatusOK), "status of %s", name)
	return status
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	all := slices.Clone(f.targets)
	for _, i := range f.instances {
		all = append(all, i.process)
	}
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
	for _, proxy := range slices.Collect(maps.Values(f.proxies)) {
		_ = proxy.Close()
	}
}

// showLogs adds the ends of the logs to the report of a failed spec.
func (f *fleet) showLogs() {
	const tail = 5000 // bytes per log
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, name := range f.names {
		data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
		AddReportEntry(name, string(data[max(0, len(data)-tail):]))
	}
}

// process is a program that this test started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func (f *fleet) run(name, program string, args ...string) *process {
	GinkgoHelper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), args...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	Expect(p.command.Start()).To(Succeed())
	go func() {
		_ = p.command.Wait() // the exit code is read from ProcessState
		close(p.ended)
	}()
	return p
}

func (p *process) signal(signal syscall.Signal) {
	GinkgoHelper()
	Expect(p.command.Process.Signal(signal)).To(Succeed(), "signal to %s", p.name)
}

// kill ends the process, frozen or not, and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // an error means that it has ended
	<-p.ended
}

// running tells whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// expectCleanEnd waits until the process has ended with exit code 0.
func (p *process) expectCleanEnd() {
	GinkgoHelper()
	Eventually(p.ended, stopLimit).Should(BeClosed(), "end of %s", p.name)
	Expect(p.command.ProcessState.ExitCode()).To(Equal(0), "exit code of %s", p.name)
}
