package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["run-numbers"] = runNumbers }

const (
	runnerDown = 2 * time.Second
	splitTime  = 7 * time.Second
)

// leader returns the index of the coordinator that has become the leader last, by its log.
func (f *fleet) leader() (int, error) {
	for i, m := range f.coordinators {
		data, err := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
		if err != nil {
			return 0, err
		}
		role := ""
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "event=voter_status") {
				_, rest, _ := strings.Cut(line, "role=")
				role, _, _ = strings.Cut(rest, " ")
			}
		}
		if role == "leader" {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no leader")
}

// workTimes gives each runner's first run of a kept job after the crash its time, and the
// next ones a short one: the last of three tasks begins at the first runner.
type workTimes struct {
	mu      sync.Mutex
	crashed bool
	before  time.Duration      // of the runs before the crash
	first   map[*runner]string // the first run, by runner
	times   map[*runner]time.Duration
}

func (w *workTimes) of(id string, s start) work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.crashed {
		return work{time: w.before}
	}
	key := fmt.Sprint(id, s.run)
	if w.first[s.on] == "" {
		w.first[s.on] = key
	}
	if w.first[s.on] == key {
		return work{time: w.times[s.on]}
	}
	return work{time: 6 * time.Second}
}

// runNumbers crashes a runner under three kept jobs, and later splits the core while the
// last of their tasks ends.
func runNumbers(r *record, trouble bool) error {
	f, err := startFleet(r, 4, 4, 4, true)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.ready(0, 1, 0, []route{newRoute("q-1", "/q1/")}); err != nil {
		return err
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	// Of the three seeds, which are the voters, one that does not lead owns the first
	// runner; the fourth coordinator is the home of the jobs. These two will be cut off.
	owner, other := (leader+1)%3, (leader+2)%3
	if leader == 3 {
		return fmt.Errorf("the fourth coordinator leads")
	}
	r.add("leader %s, owner %s, home %s", f.coordinators[leader].name, f.coordinators[owner].name, f.coordinators[3].name)
	first, err := f.addRunner(f.zones[owner], "r1-1", 16000, "b")
	if err != nil {
		return err
	}
	second, err := f.addRunner(f.zones[other], "r1-2", 16000, "b")
	if err != nil {
		return err
	}
	for i := range 12 {
		if _, err := f.addRunner(f.zones[i%4], fmt.Sprintf("r1-%d", 3+i/6), 16000); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { f.shortJobs(f.gateways[owner], stop) })
	defer traffic.Wait()
	defer close(stop)

	times := &workTimes{before: time.Minute, first: map[*runner]string{}, times: map[*runner]time.Duration{first: 13 * time.Second, second: 16 * time.Second}}
	if !trouble {
		times.before = 20 * time.Second
	}
	for range 3 {
		j := &job{id: newID(), prefix: "/q1/", steps: []step{{Count: 1, CPU: 2000, MemMB: 64, EstimatedMS: 30000, Requirement: "b"}}}
		j.work = func(s start) work { return times.of(j.id, s) }
		if status := f.submit(f.gateways[3], j, 2*time.Second); status != 200 {
			return fmt.Errorf("a job is not accepted: %d", status)
		}
		time.Sleep(150 * time.Millisecond)
	}
	if !trouble {
		time.Sleep(25 * time.Second)
		f.checkTwice()
		return nil
	}
	time.Sleep(800 * time.Millisecond)
	times.mu.Lock()
	times.crashed = true
	times.mu.Unlock()
	first.crash()
	time.AfterFunc(runnerDown, func() { _ = first.start() }) // a failure shows in the record
	last := f.awaitLast(first, 35*time.Second)
	if last == nil {
		return fmt.Errorf("no last run at the first runner")
	}
	time.Sleep(time.Until(last.due) - 900*time.Millisecond)
	r.add("split, while run %d of %s is at work", last.run, last.task)
	f.split(f.coordinators[owner], f.coordinators[3])
	time.Sleep(splitTime)
	f.split()
	r.add("the split has ended")
	time.Sleep(6 * time.Second)
	f.checkTwice()
	return nil
}

// shortJobs sends jobs that need not be kept, for runners of the kind b, until stopped.
func (f *fleet) shortJobs(m *machine, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		j := &job{
			id: newID(), prefix: "/q1/", bestEffort: true,
			steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimatedMS: 500, Requirement: "b"}},
			work:  func(start) work { return work{time: 500 * time.Millisecond} },
		}
		group.Go(func() { f.submit(m, j, 2*time.Second) })
	}
}

// awaitLast returns the run of a kept job at a runner once no other kept job is open.
func (f *fleet) awaitLast(at *runner, limit time.Duration) *execution {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
		var open []*job
		f.mu.Lock()
		for _, j := range f.jobs {
			if !j.bestEffort {
				open = append(open, j)
			}
		}
		f.mu.Unlock()
		var last *execution
		count := 0
		for _, j := range open {
			if f.jobDone(j) {
				continue
			}
			count++
			for _, e := range f.runsOf(j.id) {
				if e.runner == at && e.run > 1 {
					last = e
				}
			}
		}
		if count == 1 && last != nil {
			return last
		}
	}
	return nil
}
