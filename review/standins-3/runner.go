package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = time.Second
	stopTime      = 20 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	maxListed     = 500
)

// work is how long a task works, and how its run ends.
type work struct {
	time time.Duration
	fail bool
}

// execution is one run of a task on a runner.
type execution struct {
	task     string
	run      int
	spec     string
	runner   *runner
	boot     int
	started  time.Duration // since the start of the case
	due      time.Time
	stopping bool
	ended    time.Duration // 0: running
	how      string
	number   int
	noted    time.Duration // when last-seen reached the end; 0: not yet
	lapsed   bool          // the runner's lease lapsed between the end and that
}

type ended struct {
	number int
	e      *execution
}

// runner is a sound runner that does not guard its capacity.
type runner struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	labels   []string
	cpu      int64
	address  string
	control  func() []string // the list of coordinators, as the runner knows it
	server   *http.Server
	client   *http.Client
	stopBeat context.CancelFunc

	mu       sync.Mutex
	boot     int
	up       bool
	born     time.Time
	sequence int
	token    uint64
	expires  int64         // lease, on the runner's clock in ms
	lapsedAt time.Duration // when the lease was last seen as lapsed
	runs     []*execution
	ends     []ended
	lastEnd  int
	highest  map[string]int // run of the task that was stopped or has ended
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// start starts a boot of the runner.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.order)
	mux.HandleFunc("POST /run-stop", r.order)
	mux.HandleFunc("POST /hold", r.order)
	r.mu.Lock()
	r.boot++
	r.up, r.born, r.sequence, r.token, r.expires = true, time.Now(), 0, 0, 0
	r.runs, r.ends, r.lastEnd, r.highest = nil, nil, 0, map[string]int{}
	r.server = &http.Server{Handler: mux}
	server, boot := r.server, r.boot
	ctx, stop := context.WithCancel(context.Background())
	r.stopBeat = stop
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Close
	go r.beats(ctx)
	go r.advanceLoop(ctx, boot)
	return nil
}

// crash ends the runner and all that runs on it.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	r.stopBeat()
	for _, e := range r.runs {
		r.fleet.ended(e, "crashed")
	}
	r.runs = nil
	server := r.server
	r.mu.Unlock()
	server.Close()
	r.fleet.record.add("runner %s crashes", r.id)
}

func (r *runner) advanceLoop(ctx context.Context, boot int) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			if r.boot == boot {
				r.advance()
			}
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// advance ends the runs whose time has come. The caller holds the lock.
func (r *runner) advance() {
	lapsed := r.clock() >= r.expires
	if lapsed {
		r.lapsedAt = r.fleet.record.now()
	}
	for _, e := range slices.Clone(r.runs) {
		switch {
		case e.stopping && !time.Now().Before(e.due):
			r.end(e, "stopped")
		case lapsed:
			r.end(e, "lapsed")
		case !e.stopping && !time.Now().Before(e.due):
			how := "done"
			if r.fleet.work(e.task, e.run, r).fail {
				how = "failed"
			}
			r.end(e, how)
		}
	}
}

func (r *runner) end(e *execution, how string) {
	r.runs = slices.DeleteFunc(r.runs, func(o *execution) bool { return o == e })
	r.lastEnd++
	e.number = r.lastEnd
	r.ends = append(r.ends, ended{r.lastEnd, e})
	r.highest[e.task] = max(r.highest[e.task], e.run)
	r.fleet.ended(e, how)
}

type orderBody struct {
	Task    string `json:"task"`
	Run     int    `json:"run-id"`
	Spec    string `json:"spec"`
	Expires int64  `json:"expires-ms"`
	Token   uint64 `json:"fencing-token"`
	Seen    int    `json:"last-seen"`
	WaitMS  int64  `json:"wait-ms"`
}

func (r *runner) order(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if id := request.Header.Get("X-Hawthornshore-Expected-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body orderBody
	if json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	path := request.URL.Path
	status, answer := r.carryOut(path, &body)
	if path == "/hold" && status == http.StatusOK {
		answer = r.wait(request.Context(), &body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have left
}

// carryOut executes an order and returns the status and the body of the response.
func (r *runner) carryOut(path string, body *orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return http.StatusServiceUnavailable, nil
	}
	r.advance()
	answer := map[string]any{"clock-ms": r.clock()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if body.Token < r.token {
		return refuse("fence")
	}
	r.token = body.Token
	extend := func() {
		r.expires = max(r.expires, min(body.Expires, r.clock()+maxHold.Milliseconds()))
	}
	switch path {
	case "/run-start":
		if body.Expires <= r.clock() {
			return refuse("late")
		}
		extend()
		for _, e := range r.runs {
			if e.task == body.Task && e.run == body.Run {
				return http.StatusOK, answer
			}
		}
		if body.Run <= r.highest[body.Task] {
			return refuse("old")
		}
		e := &execution{task: body.Task, run: body.Run, spec: body.Spec, runner: r, boot: r.boot, due: time.Now().Add(r.fleet.work(body.Task, body.Run, r).time)}
		r.runs = append(r.runs, e)
		r.fleet.started(e)
	case "/run-stop":
		found := false
		for _, e := range r.runs {
			if e.task == body.Task && e.run == body.Run {
				found = true
				if !e.stopping {
					e.stopping, e.due = true, time.Now().Add(stopTime)
					r.fleet.record.add("runner %s is told to stop %s run %d", r.id, e.task, e.run)
				}
			}
		}
		if !found {
			r.highest[body.Task] = max(r.highest[body.Task], body.Run)
		}
	case "/hold":
		if body.Expires > 0 {
			extend()
		}
		for _, end := range r.ends {
			if end.number <= body.Seen && end.e.noted == 0 {
				end.e.noted, end.e.lapsed = r.fleet.record.now(), r.lapsedAt >= end.e.ended
				r.fleet.record.add("runner %s: end of %s run %d is noted, lapsed=%t", r.id, end.e.task, end.e.run, end.e.lapsed)
			}
		}
		r.ends = slices.DeleteFunc(r.ends, func(e ended) bool { return e.number <= body.Seen })
	}
	return http.StatusOK, answer
}

// wait waits for an end and returns the lists.
func (r *runner) wait(ctx context.Context, body *orderBody) map[string]any {
	until := time.Now().Add(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond)
	for {
		r.mu.Lock()
		r.advance()
		if len(r.ends) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			running, listed := [][]any{}, [][]any{}
			for _, e := range r.runs {
				total := r.fleet.work(e.task, e.run, r).time
				percent := 100 - int(100*time.Until(e.due)/max(total, time.Millisecond))
				running = append(running, []any{e.task, e.run, "", min(max(percent, 0), 99), 0})
			}
			for _, end := range r.ends[:min(len(r.ends), maxListed)] {
				listed = append(listed, []any{end.number, end.e.task, end.e.run, end.e.how, ""})
			}
			answer := map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": listed}
			r.mu.Unlock()
			return answer
		}
		r.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
	}
}

// beats sends the liveness reports of a boot.
func (r *runner) beats(ctx context.Context) {
	next, url := 0, ""
	for ctx.Err() == nil {
		address := url
		if address == "" {
			list := r.control()
			address = list[next%len(list)]
			next++
		}
		reply, err := r.beat(ctx, address)
		pause := heartbeatTime
		switch {
		case err != nil:
			url, pause = "", 100*time.Millisecond
		case reply != "":
			url = reply
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (r *runner) beat(ctx context.Context, address string) (string, error) {
	r.mu.Lock()
	r.sequence++
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": r.cpu, "mem-mb": 32768, "gpus": 0},
		"labels": r.labels, "clock-ms": r.clock(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	})
	r.mu.Unlock()
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/Instances.Heartbeat/"+r.id, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	var reply struct {
		URL string `json:"heartbeat-url"`
	}
	return reply.URL, json.Unmarshal(data, &reply)
}
