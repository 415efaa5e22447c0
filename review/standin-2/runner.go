package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the emulated deployment, as in the settings that cluster.go writes.
const (
	maxHold           = 1000 * time.Millisecond
	stopTime          = 30 * time.Millisecond // the pages allow 50 ms
	heartbeatInterval = 1500 * time.Millisecond
	listedEnds        = 500
)

// runnerOptions describe a runner stand-in.
type runnerOptions struct {
	id, service, zone, rack, kind string
	cpu, memMB                    int64
	// work returns how long a run of a task takes.
	work func(task string) time.Duration
	// fails reports whether a run ends as failed.
	fails func(task string) bool
}

// runner follows the section "Running tasks" of PROTOCOL.md.
type runner struct {
	options runnerOptions
	record  *record
	control []string // addresses of coordinators
	client  *http.Client
	address string
	stopped chan struct{}
	booted  chan struct{} // wakes the heartbeats of a new boot

	mu       sync.Mutex
	down     bool
	boot     int
	born     int64
	clock    time.Time // its origin
	sequence uint64
	draining bool
	url      string
	next     int
	token    uint64
	lease    time.Time
	runs     map[runKey]*run
	highest  map[string]int
	ends     []end
	lastEnd  uint64
	acked    uint64
	// starts and dones are for the checks.
	history []*run
}

type runKey struct {
	task string
	run  int
}

type run struct {
	key      runKey
	runner   string
	boot     int
	started  time.Time
	work     time.Duration
	stopAt   time.Time // zero: no stop
	ended    time.Time
	how      string
	number   uint64
	ackedAt  time.Time
	lapsed   bool // the lease lapsed between the end and its acknowledgement
	leaseEnd time.Time
}

type end struct {
	number uint64
	run    *run
}

// startRunner listens on an address and sends heartbeats until stop.
func startRunner(options runnerOptions, host string, rec *record, control []string) (*runner, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		options: options, record: rec, control: control, address: listener.Addr().String(),
		client: &http.Client{Timeout: time.Second}, stopped: make(chan struct{}), booted: make(chan struct{}, 1),
	}
	r.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serve(r.start))
	mux.HandleFunc("POST /run-stop", r.serve(r.stop))
	mux.HandleFunc("POST /hold", r.serve(r.hold))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-r.stopped
		_ = server.Close()
	}()
	go r.beat()
	return r, nil
}

// reset begins a new boot. The caller holds the lock or is the only user.
func (r *runner) reset() {
	r.boot++
	r.born, r.clock = time.Now().UnixMilli(), time.Now()
	r.sequence, r.draining, r.url, r.token, r.lease = 0, false, "", 0, time.Time{}
	r.runs, r.highest, r.ends, r.lastEnd, r.acked = map[runKey]*run{}, map[string]int{}, nil, 0, 0
}

// crash ends all runs. The runner is back under its ID after a delay; 0: it stays down.
func (r *runner) crash(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.advance(time.Now())
	r.down = true
	for _, active := range r.runs {
		active.ended, active.how = time.Now(), "crash"
	}
	r.record.note("runner %s crashes with %d runs", r.options.id, len(r.runs))
	r.runs = map[runKey]*run{}
	if delay == 0 {
		return
	}
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reset()
		r.down = false
		r.record.note("runner %s is back", r.options.id)
		select {
		case r.booted <- struct{}{}:
		default:
		}
	})
}

func (r *runner) clockMS() int64 { return time.Since(r.clock).Milliseconds() }

// advance ends the runs that are due.
func (r *runner) advance(now time.Time) {
	keys := make([]runKey, 0, len(r.runs))
	for key := range r.runs {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].task < keys[j].task })
	for _, key := range keys {
		active := r.runs[key]
		due, how := active.started.Add(active.work), "done"
		if r.options.fails != nil && r.options.fails(key.task) {
			how = "failed"
		}
		if !active.stopAt.IsZero() && active.stopAt.Before(due) {
			due, how = active.stopAt, "stopped"
		}
		if r.lease.Before(due) {
			due, how = r.lease, "lapsed"
		}
		if now.Before(due) {
			continue
		}
		delete(r.runs, key)
		r.lastEnd++
		active.ended, active.how, active.number, active.leaseEnd = due, how, r.lastEnd, r.lease
		r.highest[key.task] = max(r.highest[key.task], key.run)
		r.ends = append(r.ends, end{r.lastEnd, active})
		r.record.note("runner %s ends %s run %d: %s", r.options.id, key.task, key.run, how)
	}
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run-id"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires-ms"`
	Token   uint64 `json:"fencing-token"`
	Seen    uint64 `json:"last-seen"`
	Wait    int64  `json:"wait-ms"`
}

type reply struct {
	status int
	body   map[string]any
}

func (r *runner) serve(handle func(*http.Request, *order) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		down, boot := r.down, r.boot
		r.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if request.Header.Get("X-Hawthornshore-Expected-Instance") != r.options.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(request.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := handle(request, &o)
		r.mu.Lock()
		gone := r.down || r.boot != boot
		if !gone {
			result.body["clock-ms"] = r.clockMS()
		}
		r.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(result.status)
		_ = json.NewEncoder(w).Encode(result.body)
	}
}

func conflict(reason string) reply {
	return reply{http.StatusConflict, map[string]any{"reason": reason}}
}

// fenced applies an order's token. The caller holds the lock.
func (r *runner) fenced(o *order) bool {
	if o.Token < r.token {
		return true
	}
	r.token = o.Token
	return false
}

// extend applies a lease. It never shortens, and is at most maxHold.
func (r *runner) extend(now time.Time, expiresMS int64) {
	expires := r.clock.Add(time.Duration(expiresMS) * time.Millisecond)
	if limit := now.Add(maxHold); limit.Before(expires) {
		expires = limit
	}
	if !r.lease.Before(expires) {
		return
	}
	if r.lease.Before(now) {
		for _, e := range r.ends {
			e.run.lapsed = true
		}
	}
	r.lease = expires
}

func (r *runner) start(_ *http.Request, o *order) reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.advance(now)
	key := runKey{o.Task, o.Run}
	switch {
	case r.fenced(o):
		return conflict("fence")
	case o.Expires <= r.clockMS():
		return conflict("late")
	}
	r.extend(now, o.Expires)
	if r.runs[key] != nil {
		return reply{http.StatusOK, map[string]any{}}
	}
	if o.Run <= r.highest[o.Task] {
		return conflict("old")
	}
	active := &run{key: key, runner: r.options.id, boot: r.boot, started: now, work: r.options.work(o.Task)}
	r.runs[key] = active
	r.history = append(r.history, active)
	r.record.note("runner %s starts %s run %d", r.options.id, o.Task, o.Run)
	return reply{http.StatusOK, map[string]any{}}
}

func (r *runner) stop(_ *http.Request, o *order) reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.advance(now)
	if r.fenced(o) {
		return conflict("fence")
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if active := r.runs[runKey{o.Task, o.Run}]; active != nil && active.stopAt.IsZero() {
		active.stopAt = now.Add(stopTime)
		r.record.note("runner %s stops %s run %d", r.options.id, o.Task, o.Run)
	}
	return reply{http.StatusOK, map[string]any{}}
}

func (r *runner) hold(request *http.Request, o *order) reply {
	r.mu.Lock()
	boot := r.boot
	if r.fenced(o) {
		r.mu.Unlock()
		return conflict("fence")
	}
	now := time.Now()
	r.advance(now)
	r.acknowledge(now, o.Seen)
	if o.Expires > 0 {
		r.extend(now, o.Expires)
	}
	r.mu.Unlock()
	until := now.Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for {
		r.mu.Lock()
		now = time.Now()
		if r.down || r.boot != boot {
			r.mu.Unlock()
			return reply{http.StatusServiceUnavailable, map[string]any{}}
		}
		r.advance(now)
		if len(r.ends) > 0 || !now.Before(until) || request.Context().Err() != nil {
			lists := r.lists(now)
			r.mu.Unlock()
			return reply{http.StatusOK, lists}
		}
		r.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// acknowledge forgets ends. The caller holds the lock.
func (r *runner) acknowledge(now time.Time, seen uint64) {
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.number > seen {
			kept = append(kept, e)
			continue
		}
		e.run.ackedAt = now
		e.run.lapsed = e.run.lapsed || r.lease.Before(now)
	}
	r.ends = kept
}

func (r *runner) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for key, active := range r.runs {
		percent := 100 * float64(now.Sub(active.started)) / float64(max(active.work, 1))
		running = append(running, []any{key.task, key.run, "", int(min(percent, 100)), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), listedEnds)] {
		ended = append(ended, []any{e.number, e.run.key.task, e.run.key.run, e.run.how, ""})
	}
	return map[string]any{"running": running, "ended": ended, "born": r.born}
}

// beat sends heartbeats, to the next coordinator after a failure.
func (r *runner) beat() {
	for {
		pause := heartbeatInterval
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		if down {
			pause = 5 * time.Millisecond
		} else if err := r.heartbeat(); err != nil {
			pause = 10 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-r.booted:
		case <-r.stopped:
			return
		}
	}
}

func (r *runner) heartbeat() error {
	r.mu.Lock()
	r.sequence++
	address, boot := r.url, r.boot
	if address == "" {
		address = r.control[r.next%len(r.control)]
		r.next++
	}
	o := &r.options
	body, err := json.Marshal(map[string]any{
		"service": o.service, "address": r.address, "zone": o.zone, "version": "v1", "slots": 8,
		"state": map[bool]string{false: "ready", true: "draining"}[r.draining], "cold-remaining-ms": 0,
		"capacity": map[string]int64{"cpu": o.cpu, "mem-mb": o.memMB, "gpus": 0},
		"labels":   []string{o.kind, o.rack}, "clock-ms": r.clockMS(), "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	if err != nil {
		return err
	}
	response, err := r.client.Post("http://"+address+"/Instances.Heartbeat/"+o.id, "application/json", bytes.NewReader(body))
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode/100 != 2 {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
	}
	var answer struct {
		URL string `json:"heartbeat-url"`
	}
	if err == nil {
		var data []byte
		if data, err = io.ReadAll(response.Body); err == nil && len(strings.TrimSpace(string(data))) > 0 {
			err = json.Unmarshal(data, &answer)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.boot != boot:
	case err != nil:
		r.url = ""
	case answer.URL != "":
		r.url = answer.URL
	default:
		r.url = address
	}
	return err
}

// snapshot returns copies of the runs so far.
func (r *runner) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(time.Now())
	runs := make([]run, 0, len(r.history))
	for _, active := range r.history {
		runs = append(runs, *active)
	}
	return runs
}

// active returns the number of runs.
func (r *runner) active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(time.Now())
	return len(r.runs)
}

// runningTasks returns the tasks that run now.
func (r *runner) runningTasks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(time.Now())
	var tasks []string
	for key := range r.runs {
		tasks = append(tasks, key.task)
	}
	return tasks
}
