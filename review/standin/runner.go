package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// run is one run of a task on a runner.
type run struct {
	task    string
	number  int
	started time.Duration // since the start of the case
	ends    time.Duration // when its work or its stop is over
	how     string        // at that time
}

// end is an end that the runner lists until it is acknowledged.
type end struct {
	number int
	task   string
	run    int
	how    string
	at     time.Duration
}

// finished is a run that is over, for the checks.
type finished struct {
	runner         string
	task           string
	run            int
	started, ended time.Duration
	how            string
	noted          bool // the end was acknowledged, and the lease had not lapsed since it
}

// fleet holds what all runners have seen.
type fleet struct {
	rec      *record
	mu       sync.Mutex
	starts   []*finished
	workTime func(task string, run int, now time.Duration) (time.Duration, string)
}

// runner is one machine that runs tasks, as PROTOCOL.md describes it. A crash ends
// its boot; the next boot has another id at the same address.
type runner struct {
	fleet    *fleet
	name     string
	zone     string
	address  string
	labels   []string
	cpu      int
	control  []string // addresses of control
	boots    int
	id       string
	born     int64
	bootAt   time.Duration
	server   *http.Server
	cancel   context.CancelFunc
	sequence int

	mu       sync.Mutex // guards the fields below
	down     bool
	token    uint64        // highest epoch number seen
	leaseEnd time.Duration // since the start of the case
	leaseAt  time.Duration // since when the lease has not lapsed
	runs     map[string]*run
	ended    []*end
	lastEnd  int
	highest  map[string]int       // by task: highest run that has ended or was stopped
	records  map[string]*finished // of this boot, by run
	// held is closed when responses may leave again; nil: they leave at once.
	held      chan struct{}
	heldSince time.Time
	// lateStart is how long after its arrival the next start is carried out, without a
	// response; 0: at once.
	lateStart time.Duration
	lateAt    time.Duration // when the late start arrived; 0: not yet
	keepsID   bool          // the next boot has the id of this one
	// firstReport is the time from a boot to its first liveness report.
	firstReport time.Duration
}

// listedEnds is how many ends a response lists at most.
const listedEnds = 500

func newRunner(f *fleet, name, zone, address string, labels []string, cpu int, control []string) *runner {
	return &runner{fleet: f, name: name, zone: zone, address: address, labels: labels, cpu: cpu, control: control}
}

// boot starts a boot of the runner.
func (r *runner) boot() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.keepsID {
		r.boots++
	}
	r.down, r.id, r.keepsID = false, fmt.Sprintf("i-%s-%d", r.name, r.boots), false
	r.born, r.bootAt = time.Now().UnixMilli(), r.fleet.rec.now()
	r.token, r.leaseEnd, r.leaseAt, r.lastEnd, r.sequence = 0, 0, 0, 0, 0
	r.runs, r.ended, r.highest, r.records = map[string]*run{}, nil, map[string]int{}, map[string]*finished{}
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	mux := http.NewServeMux()
	for path, handle := range map[string]func(*order) (int, map[string]any){"/run-start": r.start, "/run-stop": r.stop} {
		mux.HandleFunc("POST "+path, r.serve(r.id, handle))
	}
	mux.HandleFunc("POST /hold", r.serve(r.id, nil))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, time.Now())
	}}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server)
	go r.heartbeats(ctx, r.id)
	go r.tick(ctx, r.id)
	r.fleet.rec.add("runner %s boots as %s at %s, labels %v", r.name, r.id, r.address, r.labels)
	return nil
}

type openedKey struct{}

// crash ends the boot without a word: all that runs there is gone.
func (r *runner) crash() {
	r.fleet.rec.add("runner %s (%s) crashes", r.name, r.id)
	r.shutDown()
}

// shutDown ends the boot.
func (r *runner) shutDown() {
	r.mu.Lock()
	r.advance()
	r.down = true
	for _, key := range slices.Sorted(maps.Keys(r.runs)) {
		r.finish(key, "gone with its runner", r.fleet.rec.now())
	}
	server, cancel := r.server, r.cancel
	r.mu.Unlock()
	cancel()
	_ = server.Close()
}

// order is the body of an order.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run-id"`
	Spec      string `json:"spec"`
	ExpiresMS int64  `json:"expires-ms"`
	Token     uint64 `json:"fencing-token"`
	LastSeen  int    `json:"last-seen"`
	WaitMS    int64  `json:"wait-ms"`
}

func (r *runner) serve(id string, handle func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		data, err := io.ReadAll(request.Body)
		var o order
		if err != nil || json.Unmarshal(data, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := request.Header.Get("X-Hawthornshore-Expected-Instance"); expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		opened, _ := request.Context().Value(openedKey{}).(time.Time)
		if held := r.holding(); held != nil && opened.After(r.heldSince) {
			// The channel could not have been opened: its order doesn't arrive.
			<-request.Context().Done()
			return
		}
		if delay := r.takeLate(request.URL.Path, &o); delay > 0 {
			time.AfterFunc(delay, func() { r.carryOutLate(id, &o) })
			<-request.Context().Done()
			return
		}
		var status int
		var answer map[string]any
		if handle == nil {
			status, answer = r.hold(request.Context(), &o)
		} else {
			status, answer = handle(&o)
		}
		if held := r.holding(); held != nil {
			select {
			case <-held:
			case <-request.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// takeLate returns how late an order is to be carried out.
func (r *runner) takeLate(path string, o *order) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if path != "/run-start" || r.lateStart == 0 {
		return 0
	}
	delay := r.lateStart
	r.lateStart, r.lateAt = 0, r.fleet.rec.now()
	r.fleet.rec.add("runner %s leaves the start of %s run %d unanswered", r.name, o.Task, o.Run)
	return delay
}

// carryOutLate carries an order out at the boot that has the address and the id by now.
func (r *runner) carryOutLate(id string, o *order) {
	r.mu.Lock()
	reached := r.id == id && !r.down
	r.mu.Unlock()
	r.fleet.rec.add("runner %s: the late start of %s run %d arrives: %t", r.name, o.Task, o.Run, reached)
	if reached {
		status, answer := r.start(o)
		r.fleet.rec.add("runner %s: the late start is answered %d %v", r.name, status, answer)
	}
}

func (r *runner) holding() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// holdResponses begins a cut in the direction from the runner: orders on open
// channels still arrive, what the runner sends is held up, no new channel opens.
func (r *runner) holdResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held, r.heldSince = make(chan struct{}), time.Now()
	r.fleet.rec.add("runner %s: the path from it is cut", r.name)
}

func (r *runner) releaseResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.held)
	r.held = nil
	r.fleet.rec.add("runner %s: the path from it is back", r.name)
}

// count returns the number of runs.
func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// clockMS is the runner's clock, which starts with the boot. The caller holds the lock.
func (r *runner) clockMS() int64 { return (r.fleet.rec.now() - r.bootAt).Milliseconds() }

func (r *runner) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock-ms": r.clockMS(), "reason": reason}
}

func key(task string, number int) string { return fmt.Sprintf("%s/%d", task, number) }

func (r *runner) start(o *order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		panic(http.ErrAbortHandler) // crashed in the meantime
	}
	r.advance()
	now := r.fleet.rec.now()
	switch {
	case o.Token < r.token:
		return r.refuse("fence")
	case o.ExpiresMS <= r.clockMS():
		return r.refuse("late")
	}
	r.token = o.Token
	r.extend(o.ExpiresMS)
	if r.runs[key(o.Task, o.Run)] != nil {
		return http.StatusOK, map[string]any{"clock-ms": r.clockMS()}
	}
	if o.Run <= r.highest[o.Task] {
		r.fleet.rec.add("runner %s refuses %s run %d: old", r.name, o.Task, o.Run)
		return r.refuse("old")
	}
	work, how := r.fleet.workTime(o.Task, o.Run, now)
	r.runs[key(o.Task, o.Run)] = &run{task: o.Task, number: o.Run, started: now, ends: now + work, how: how}
	f := &finished{runner: r.id, task: o.Task, run: o.Run, started: now, ended: -1}
	r.records[key(o.Task, o.Run)] = f
	r.fleet.mu.Lock()
	r.fleet.starts = append(r.fleet.starts, f)
	r.fleet.mu.Unlock()
	r.fleet.rec.add("runner %s (%s) starts %s run %d, spec %q", r.name, r.id, o.Task, o.Run, o.Spec)
	return http.StatusOK, map[string]any{"clock-ms": r.clockMS()}
}

func (r *runner) stop(o *order) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if o.Token < r.token {
		return r.refuse("fence")
	}
	r.token = o.Token
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if active := r.runs[key(o.Task, o.Run)]; active != nil {
		if at := r.fleet.rec.now() + 20*time.Millisecond; at < active.ends {
			active.ends, active.how = at, "stopped"
		}
	}
	r.fleet.rec.add("runner %s is told to stop %s run %d", r.name, o.Task, o.Run)
	return http.StatusOK, map[string]any{"clock-ms": r.clockMS()}
}

func (r *runner) hold(ctx context.Context, o *order) (int, map[string]any) {
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for first := true; ; first = false {
		r.mu.Lock()
		r.advance()
		if first {
			if o.Token < r.token {
				defer r.mu.Unlock()
				return r.refuse("fence")
			}
			r.token = o.Token
			r.note(o.LastSeen)
			if o.ExpiresMS > 0 {
				r.extend(o.ExpiresMS)
			}
		}
		if len(r.ended) > 0 || r.down || !time.Now().Before(until) {
			defer r.mu.Unlock()
			return http.StatusOK, r.lists()
		}
		r.mu.Unlock()
		if sleep(ctx, 3*time.Millisecond) != nil {
			return http.StatusServiceUnavailable, nil
		}
	}
}

// extend sets the end of the lease, which is never shortened. The caller holds the lock.
func (r *runner) extend(expiresMS int64) {
	now := r.fleet.rec.now()
	if r.leaseEnd < now {
		r.leaseAt = now
	}
	expires := min(r.bootAt+time.Duration(expiresMS)*time.Millisecond, now+maxHoldMS*time.Millisecond)
	r.leaseEnd = max(r.leaseEnd, expires)
}

// note drops the ends that are acknowledged. The caller holds the lock.
func (r *runner) note(lastSeen int) {
	kept := r.ended[:0:0]
	now := r.fleet.rec.now()
	for _, e := range r.ended {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		noted := now <= r.leaseEnd && r.leaseAt <= e.at
		if f := r.records[key(e.task, e.run)]; f != nil {
			r.fleet.mu.Lock()
			f.noted = noted
			r.fleet.mu.Unlock()
		}
		r.fleet.rec.add("runner %s: end %d (%s run %d %s) is taken note of; lease lapsed since: %t", r.name, e.number, e.task, e.run, e.how, !noted)
	}
	r.ended = kept
}

// lists returns the rows of a response. The caller holds the lock.
func (r *runner) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	now := r.fleet.rec.now()
	for _, k := range slices.Sorted(maps.Keys(r.runs)) {
		active := r.runs[k]
		percent := 100 * (now - active.started) / max(active.ends-active.started, 1)
		running = append(running, []any{active.task, active.number, "", int(min(percent, 99)), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": r.clockMS(), "born": r.born, "running": running, "ended": ended}
}

// advance ends the runs whose time has come. The caller holds the lock.
func (r *runner) advance() {
	now := r.fleet.rec.now()
	var due []string
	for k, active := range r.runs {
		if active.ends <= now || r.leaseEnd < now {
			due = append(due, k)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := r.runs[due[i]], r.runs[due[j]]
		return a.ends < b.ends || a.ends == b.ends && due[i] < due[j]
	})
	for _, k := range due {
		active := r.runs[k]
		if active.ends <= r.leaseEnd {
			r.finish(k, active.how, active.ends)
		} else {
			r.finish(k, "lapsed", r.leaseEnd)
		}
	}
}

// finish ends a run and lists its end. The caller holds the lock.
func (r *runner) finish(k, how string, at time.Duration) {
	active := r.runs[k]
	delete(r.runs, k)
	f := r.records[k]
	r.fleet.mu.Lock()
	f.ended, f.how = at, how
	r.fleet.mu.Unlock()
	r.fleet.rec.add("runner %s: %s run %d ends at %.3f: %s", r.name, active.task, active.number, at.Seconds(), how)
	if r.down {
		return
	}
	r.lastEnd++
	r.highest[active.task] = max(r.highest[active.task], active.number)
	r.ended = append(r.ended, &end{number: r.lastEnd, task: active.task, run: active.number, how: how, at: at})
}

func (r *runner) tick(ctx context.Context, id string) {
	for sleep(ctx, 5*time.Millisecond) == nil {
		r.mu.Lock()
		if r.id == id && !r.down {
			r.advance()
		}
		r.mu.Unlock()
	}
}

const heartbeatInterval = 1500 * time.Millisecond

// heartbeats reports the runner to control. After a failure the next daemon is called.
func (r *runner) heartbeats(ctx context.Context, id string) {
	caller := &http.Client{Timeout: time.Second}
	next, address := 0, ""
	_ = sleep(ctx, r.firstReport)
	for ctx.Err() == nil {
		if address == "" {
			address = r.control[next%len(r.control)]
			next++
		}
		url, err := r.heartbeat(ctx, caller, id, address)
		switch {
		case err != nil:
			address = ""
			_ = sleep(ctx, 20*time.Millisecond)
			continue
		case url != "":
			address = url
		}
		_ = sleep(ctx, heartbeatInterval)
	}
}

func (r *runner) heartbeat(ctx context.Context, caller *http.Client, id, address string) (string, error) {
	r.mu.Lock()
	r.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": r.cpu, "mem-mb": 131072, "gpus": 0},
		"labels": r.labels, "clock-ms": r.clockMS(), "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := caller.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	var reply struct {
		URL string `json:"heartbeat-url"`
	}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := json.Unmarshal(data, &reply); err != nil {
			return "", err
		}
	}
	return reply.URL, nil
}

// of returns copies of the runs of a job's tasks, in the order of their starts.
func (f *fleet) of(id string) []finished {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []finished
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, id+".") {
			found = append(found, *s)
		}
	}
	return found
}

// working returns the number of runs of a job that have not ended.
func (f *fleet) working(id string) int {
	count := 0
	for _, s := range f.of(id) {
		if s.ended < 0 {
			count++
		}
	}
	return count
}
