package deployment

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornshore.example/emulator"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/placement"
	"hawthornshore.example/platform/standin"
)

const (
	queueHost   = "desk.example"
	queuePrefix = "/work/"
	service     = "desk"
	// OtherService is a service that the document has only after MoveQueues.
	OtherService = "desk-2"
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod = 6 * time.Second
)

var ports = standin.Ports{Frontend: 7101, Readiness: 7102, Control: 7103, Link: 7120}

// Deployment is a set of gateway and coordinator processes with emulated targets.
type Deployment struct {
	Gateways      []*Process
	Coordinators  []*Process
	Targets       []*standin.Target
	TargetProxies []*faultproxy.Proxy // in front of the targets, in the order of Targets
	spares        []*Process          // coordinators that are not started yet
	links         map[linkEnds]*faultproxy.Proxy
	folder        string
	epoch         time.Time
	client        standin.Client
	version       uint64   // of the document sent last
	acknowledged  uint64   // highest acknowledged version
	stored        sync.Map // IDs of the jobs that have to be stored
	deadly        sync.Map // IDs of the jobs whose tasks crash the targets that start them
	runChecker    *emulator.RunChecker

	evacuations evacuationRecords
}

// Options configure a Deployment.
type Options struct {
	Folder       string // for settings, data and logs
	Binary       string
	Network      int // third octet of the loopback addresses, 0 to 250
	Gateways     int
	Coordinators int
	Targets      int
	OtherTargets int  // of OtherService, after the others
	Spares       int  // coordinators that AddCoordinator starts later
	Absent       int  // coordinator, counted from 1, that is not started with the others; 0: none
	ProxyLinks   bool // puts a proxy into each link between two processes; see Split
	MemoryMB     int  // of each machine, 0: the stand-in's default
	MaxFDs       int  // of each machine, 0: not in the settings
}

// Start starts all processes and targets.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{folder: options.Folder, epoch: time.Now(), client: standin.Client{
		HTTP: &http.Client{Timeout: 10 * time.Second}, Ports: ports,
		Host: queueHost, Prefix: queuePrefix, Service: service,
	}}
	d.runChecker = emulator.NewRunChecker(maxAttempts, func(task string) bool {
		_, stored := d.stored.Load(placement.JobID(task))
		return stored
	})
	var seeds []string
	for i := range options.Coordinators {
		if ip := address(options.Network, 10+i); i < 3 {
			seeds = append(seeds, ip)
		}
	}
	for i := range options.Coordinators + options.Spares + options.Gateways {
		core := i < options.Coordinators+options.Spares
		machine := standin.Machine{IP: address(options.Network, 10+i), DataCentre: fmt.Sprintf("dc%d", i%2), Core: core, Zones: zones, MemoryMB: options.MemoryMB, MaxFDs: options.MaxFDs}
		p := newProcess(options.Folder, options.Binary, seeds, machine)
		if options.ProxyLinks {
			p.ports.Link += linkPortStep * (1 + i)
		}
		switch {
		case i < options.Coordinators:
			d.Coordinators = append(d.Coordinators, p)
		case core:
			d.spares = append(d.spares, p)
		default:
			d.Gateways = append(d.Gateways, p)
		}
	}
	if options.ProxyLinks {
		if err := d.proxyLinks(); err != nil {
			return nil, err
		}
	}
	for _, p := range append(d.Gateways, d.Coordinators...) {
		if err := p.writeSettings(true); err != nil {
			return nil, err
		}
		if options.Absent > 0 && p == d.Coordinators[options.Absent-1] {
			continue
		}
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	return d, d.startTargets(ctx, options.Targets, options.OtherTargets)
}

// zones are the data centres in the settings. The last one has no targets.
var zones = []string{"dc0", "dc1", "dc2"}

func address(network, host int) string { return fmt.Sprintf("127.77.%d.%d", network, host) }

func (d *Deployment) startTargets(ctx context.Context, count, others int) error {
	var control []string
	for _, p := range d.Coordinators {
		control = append(control, controlAddress(p))
	}
	for i := range count + others {
		targetService := service
		if i >= count {
			targetService = OtherService
		}
		target, err := standin.StartTarget(ctx, standin.TargetOptions{
			ID: fmt.Sprintf("i-%04d", i), Service: targetService, DataCentre: targetDataCentre(i),
			Rack: fmt.Sprintf("r%d", i/4), Capacity: TargetCapacity,
			Control: control, Epoch: d.epoch, Advertise: d.advertise, Deadly: d.isDeadly,
			Runner: emulator.RunnerOptions{
				Lease: time.Second, StopTime: 20 * time.Millisecond, Work: taskDuration, Need: taskResources, Conditions: d.conditions,
				OnStart: d.runChecker.OnStart, OnEndAcked: d.runChecker.OnEndAcked,
			},
		})
		if err != nil {
			return err
		}
		d.Targets = append(d.Targets, target)
	}
	return nil
}

// advertise puts a proxy in front of a target and returns the proxy's address.
func (d *Deployment) advertise(address string) (string, error) {
	proxy, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	d.TargetProxies = append(d.TargetProxies, proxy)
	return proxy.Address(), nil
}

// taskDuration derives a run time between 20 and 320 ms from the task's name.
func taskDuration(task string, _ int) (time.Duration, bool) {
	hash := fnv.New32a()
	hash.Write([]byte(task))
	return time.Duration(20+hash.Sum32()%300) * time.Millisecond, false
}

func taskResources(string) placement.Resources {
	return placement.Resources{CPUMillis: taskMillis, MemoryMB: taskMB}
}

// conditionsOf derives from the ID of a stored job what its step demands of a target:
// of eight jobs two need a label, and four have a limit of one or two tasks for each target.
func conditionsOf(id string) emulator.Conditions {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	drawn := hash.Sum32()
	conditions := emulator.Conditions{PerTarget: max(int(drawn%4)-1, 0)}
	if drawn/4%4 == 0 {
		conditions.Label = "r0"
	}
	return conditions
}

// conditions returns what the step of a task demands of its target.
func (d *Deployment) conditions(task string) emulator.Conditions {
	id := placement.JobID(task)
	if _, stored := d.stored.Load(id); !stored {
		return emulator.Conditions{}
	}
	return conditionsOf(id)
}

// TargetCapacity is the capacity of a target at its start.
var TargetCapacity = placement.Resources{CPUMillis: 32000, MemoryMB: 4096}

// isDeadly reports whether a task crashes its target, and for how long.
func (d *Deployment) isDeadly(task string) (crash bool, delay time.Duration) {
	_, deadly := d.deadly.Load(placement.JobID(task))
	return deadly, deadlyOutage
}

const (
	// deadlyOutage is how long a target is away after the start of a deadly task.
	deadlyOutage = 2 * time.Second

	maxAttempts = 3 // of the queue that the stand-in operator defines
	taskMillis  = 14000
	taskMB      = 64
)

// Close kills all running processes and closes the proxies.
func (d *Deployment) Close() {
	for _, p := range append(d.Gateways, d.Coordinators...) {
		if current := p.currentProcess(); current != nil {
			current.KillIfRunning()
		}
	}
	for _, proxy := range slices.Concat(d.TargetProxies, slices.Collect(maps.Values(d.links))) {
		_ = proxy.Close() // the processes have closed its connections
	}
}

// LogLines returns the log lines of all processes that contain the text.
func (d *Deployment) LogLines(text string) string {
	var found strings.Builder
	for _, p := range append(d.Gateways, d.Coordinators...) {
		data, err := os.ReadFile(p.log)
		if errors.Is(err, os.ErrNotExist) {
			continue // not started yet
		}
		if err != nil {
			fmt.Fprintf(&found, "%s: %v\n", p.Machine.IP, err)
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				fmt.Fprintf(&found, "%s %s", filepath.Base(p.log), line)
			}
		}
	}
	return found.String()
}

// Violations returns the violated guarantees that targets observed: starts beyond
// their capacity, tasks with overlapping runs, tasks of stored jobs that started
// after they were done, and starts in evacuated data centres.
func (d *Deployment) Violations() []string {
	violations := append(d.runChecker.Violations(), d.lateStarts()...)
	runs := map[string][]emulator.RunRecord{}
	for _, target := range d.Targets {
		violations = append(violations, target.Violations()...)
		for _, record := range target.Records() {
			for _, other := range runs[record.Task] {
				if record.Started < other.Ended && other.Started < record.Ended {
					violations = append(violations, fmt.Sprintf("task %s ran twice at the same time", record.Task))
				}
			}
			runs[record.Task] = append(runs[record.Task], record)
		}
	}
	return violations
}

// RunCounts returns the number of runs and of completed runs of each job.
func (d *Deployment) RunCounts() (started, completed map[string]int) {
	started, completed = map[string]int{}, map[string]int{}
	for _, target := range d.Targets {
		for _, record := range target.Records() {
			id, _, _ := strings.Cut(record.Task, ".")
			started[id]++
			if record.Kind == placement.EndDone {
				completed[id]++
			}
		}
	}
	return started, completed
}

// Idle reports whether no target runs a task.
func (d *Deployment) Idle() bool {
	for _, target := range d.Targets {
		if len(target.Runs()) > 0 {
			return false
		}
	}
	return true
}
