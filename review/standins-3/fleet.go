package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const host = "desk.example"

// task is what a client has asked for, by the name of the task.
type task struct {
	job   *job
	step  int
	index int
}

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem-mb,omitempty"`
	EstimatedMS  int64  `json:"estimated-ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirement  string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
}

// start describes a run to the function that gives its time.
type start struct {
	step, index, run int
	on               *runner
}

// job is a job of a client.
type job struct {
	id         string
	prefix     string
	bestEffort bool
	steps      []step
	work       func(start) work
	sent       time.Duration
	accepted   time.Duration // 0: not accepted
	answers    []int
}

// fleet is a deployment with its stand-ins.
type fleet struct {
	record       *record
	network      *network
	folder       string
	zones        []string
	coordinators []*machine
	gateways     []*machine
	runners      []*runner
	proxies      []*proxy // in the links, if the fleet was started with them
	client       *http.Client

	mu         sync.Mutex
	jobs       map[string]*job
	executions map[string][]*execution // by job
}

// newFleet lays and starts the machines: coordinators and gateways are in the zones in turn.
func newFleet(r *record, coordinators, gateways, zones int) (*fleet, error) {
	return startFleet(r, coordinators, gateways, zones, false)
}

func startFleet(r *record, coordinators, gateways, zones int, proxied bool) (*fleet, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: r, network: n, folder: folder, jobs: map[string]*job{}, executions: map[string][]*execution{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	for i := range zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%d", i+1))
	}
	var seeds []string
	for i := range coordinators {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), ip: n.address(), zone: f.zones[i%zones], core: true, folder: folder}
		f.coordinators = append(f.coordinators, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.ip)
		}
	}
	for i := range gateways {
		f.gateways = append(f.gateways, &machine{name: fmt.Sprintf("edge-%d", i+1), ip: n.address(), zone: f.zones[i%zones], folder: folder})
	}
	current.Store(f)
	if proxied {
		for i, m := range f.machines() {
			m.offset = 20 * (i + 1)
		}
		if err := f.startProxies(); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines() {
		if err := m.writeSettings(n.ports, seeds, f.zones, true); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	// Later starts are not the first one of the whole system.
	for _, m := range f.machines() {
		if err := m.writeSettingsLater(n.ports, seeds, f.zones); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// writeSettingsLater prepares the settings of later starts, which startAgain lays.
func (m *machine) writeSettingsLater(p ports, seeds, zones []string) error {
	first := m.settings
	later := &machine{name: m.name, ip: m.ip, zone: m.zone, core: m.core, offset: m.offset, folder: filepath.Join(m.folder, "later")}
	if err := os.MkdirAll(later.folder, 0o755); err != nil {
		return err
	}
	if err := later.writeSettings(p, seeds, zones, false); err != nil {
		return err
	}
	text, err := os.ReadFile(later.settings)
	if err != nil {
		return err
	}
	text = bytes.ReplaceAll(text, []byte(later.folder), []byte(m.folder))
	m.settings = first
	return os.WriteFile(later.settings, text, 0o644)
}

// startAgain starts a process that has ended, with bootstrap = false.
func (m *machine) startAgain() error {
	m.settings = filepath.Join(m.folder, "later", m.name+".toml")
	return m.start()
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.coordinators...), f.gateways...)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, m := range f.machines() {
		m.kill()
	}
	for _, r := range f.runners {
		r.mu.Lock()
		if r.up {
			r.up = false
			r.stopBeat()
			r.server.Close()
		}
		r.mu.Unlock()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

func (f *fleet) control() []string {
	var list []string
	for _, m := range f.coordinators {
		list = append(list, fmt.Sprintf("%s:%d", m.ip, f.network.ports.control))
	}
	return list
}

// addRunner starts a runner on a rack.
func (f *fleet) addRunner(zone, rack string, cpu int64, labels ...string) (*runner, error) {
	number := len(f.runners) + 1
	r := &runner{
		fleet: f, id: fmt.Sprintf("i-%04d", number), service: "desk", zone: zone, cpu: cpu,
		labels:  append([]string{"a", rack}, labels...),
		address: fmt.Sprintf("%s:%d", f.network.address(), f.network.ports.frontend),
		client:  &http.Client{Timeout: time.Second},
	}
	r.control = func() []string {
		list := f.control()
		turn := number % len(list)
		return append(list[turn:], list[:turn]...)
	}
	f.runners = append(f.runners, r)
	return r, r.start()
}

func (f *fleet) work(name string, run int, on *runner) work {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.task(name); t.job != nil && t.job.work != nil {
		return t.job.work(start{t.step, t.index, run, on})
	}
	return work{time: 200 * time.Millisecond}
}

// task returns the task of a name. The caller holds the lock.
func (f *fleet) task(name string) task {
	var t task
	var zero int
	id, rest, _ := strings.Cut(name, ".")
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &zero, &t.step, &t.index); err != nil {
		return task{}
	}
	t.job = f.jobs[id]
	return t
}

func (f *fleet) started(e *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.started = f.record.now()
	f.executions[jobOf(e.task)] = append(f.executions[jobOf(e.task)], e)
	f.record.add("runner %s starts %s run %d", e.runner.id, e.task, e.run)
	f.checkStart(e)
}

func (f *fleet) ended(e *execution, how string) {
	e.how, e.ended = how, f.record.now()
	f.record.add("runner %s ends %s run %d %s", e.runner.id, e.task, e.run, how)
}

// jobOf returns the ID in the name of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (f *fleet) isDone(name string) bool {
	for _, e := range f.executions[jobOf(name)] {
		if e.task == name && e.how == "done" {
			return true
		}
	}
	return false
}

// runsOf returns the runs of a job that are at work.
func (f *fleet) runsOf(id string) []*execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*execution
	for _, e := range f.executions[id] {
		if e.ended == 0 {
			running = append(running, e)
		}
	}
	return running
}

// do sends a request to a machine's address, at most for the timeout.
func (f *fleet) do(method, address, path string, body any, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	data := []byte(nil)
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Hawthornshore-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (f *fleet) frontend(m *machine) string {
	return fmt.Sprintf("%s:%d", m.ip, f.network.ports.frontend)
}

// submit sends a job once and returns the status of the response, or 0.
func (f *fleet) submit(m *machine, j *job, timeout time.Duration) int {
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
	body := map[string]any{"spec": "spec of " + j.id, "steps": j.steps}
	if j.bestEffort {
		body["best-effort"] = true
	}
	f.record.add("POST %s to %s", j.id, m.name)
	sent := f.record.now()
	status, answer, err := f.do(http.MethodPost, f.frontend(m), j.prefix+j.id, body, timeout)
	f.record.add("POST %s at %s is answered %d %s %v", j.id, m.name, status, answer, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if j.sent == 0 {
		j.sent = sent
	}
	j.answers = append(j.answers, status)
	if status/100 == 2 && j.accepted == 0 {
		j.accepted = f.record.now()
	}
	return status
}

// state asks for a job's state.
func (f *fleet) state(m *machine, j *job) (int, string) {
	status, answer, err := f.do(http.MethodGet, f.frontend(m), j.prefix+j.id, nil, 2*time.Second)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &body) // of another response
	f.record.add("GET %s at %s is answered %d %s %v", j.id, m.name, status, body.State, err)
	return status, body.State
}

// route is a queue of the config.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Type        string  `json:"type"`
	TimeoutMS   int     `json:"timeout-ms"`
	SloMS       int     `json:"latency-slo-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

func newRoute(name, prefix string) route {
	return route{name, host, prefix, "non_idempotent", 60000, 60, 0, "desk", 3, 1.6}
}

func configBody(version int, routes []route) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// configure sends a config until it is acknowledged.
func (f *fleet) configure(version int, routes []route, limit time.Duration) error {
	until := time.Now().Add(limit)
	list := f.control()
	for i := 0; time.Now().Before(until); i++ {
		status, answer, err := f.do(http.MethodPost, list[i%len(list)], "/Config.Replace", configBody(version, routes), time.Second)
		f.record.add("config %d at %s is answered %d %s %v", version, list[i%len(list)], status, answer, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("config %d is not acknowledged", version)
}

// awaitReady waits until all gateways report that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range f.gateways {
		for {
			status, _, _ := f.do(http.MethodGet, fmt.Sprintf("%s:%d", m.ip, f.network.ports.readiness), "/readiness", nil, time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ready starts the fleet with its runners and its first config.
func (f *fleet) ready(runners int, racks int, cpu int64, routes []route) error {
	for i := range runners {
		if _, err := f.addRunner(f.zones[i%len(f.zones)], fmt.Sprintf("r1-%d", 1+i%racks), cpu); err != nil {
			return err
		}
	}
	if err := f.configure(1, routes, 15*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the runners report and are taken over
	return nil
}
