package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

const (
	crowdSize  = 100
	crowdSteps = 6900 // a body of 255 KB; the config permits 262,144 bytes
	crowdWatch = 60 * time.Second
	retryTime  = 1300 * time.Millisecond // retry-ms
	// faultEnds is how often a process has to end by itself for the rule on faults.
	faultEnds = 3
)

// residentMB returns the resident memory of the process.
func (m *machine) residentMB() int {
	m.mu.Lock()
	pid := m.command.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0]) // a number
			return kb >> 10
		}
	}
	return 0
}

// boundMemory kills processes that use more than their machine's memory and starts ended
// ones again, as the platform does. It returns how often each has ended.
func (f *fleet) boundMemory(stop <-chan struct{}) map[string]int {
	ends, peak := map[string]int{}, map[string]int{}
	for {
		select {
		case <-stop:
			f.record.add("most memory in MB: %v", peak)
			return ends
		case <-time.After(20 * time.Millisecond):
		}
		for _, m := range f.machines() {
			used := 0
			if m.running() {
				used = m.residentMB()
				peak[m.name] = max(peak[m.name], used)
				if used <= m.memoryMB() {
					continue
				}
			}
			ends[m.name]++
			f.record.add("end %d of %s, which uses %d MB of %d", ends[m.name], m.name, used, m.memoryMB())
			_ = m.signal(syscall.SIGKILL) // it may have ended
			<-m.exited
			time.Sleep(300 * time.Millisecond)
			if err := m.startAgain(); err != nil {
				f.record.add("%s does not start: %v", m.name, err)
			}
		}
	}
}

// largeBodies hands in many whole jobs of legal size at once.
func largeBodies(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 2, 3)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.ready(12, 3, 16000, []route{newRoute("q-1", "/q1/")}); err != nil {
		return err
	}
	stop := make(chan struct{})
	result := make(chan map[string]int)
	go func() { result <- f.boundMemory(stop) }()
	// Jobs of ordinary clients, of six steps of 4 s, one after the other.
	var ordinary []*job
	for i := range 4 {
		j := &job{id: newID(), prefix: "/q1/"}
		for n := range 6 {
			s := step{Count: 1, CPU: 2000, MemMB: 64, EstimatedMS: 4000}
			if n > 0 {
				s.After = []int{n - 1}
			}
			j.steps = append(j.steps, s)
		}
		j.work = func(start) work { return work{time: 4 * time.Second} }
		if status := f.submit(f.gateways[i%2], j, 2*time.Second); status != 200 {
			return fmt.Errorf("an ordinary job is not accepted: %d", status)
		}
		ordinary = append(ordinary, j)
	}
	if trouble {
		r.add("the crowd")
		var group sync.WaitGroup
		for range crowdSize {
			group.Go(func() {
				j := &job{id: newID(), prefix: "/q1/", work: func(start) work { return work{time: time.Millisecond} }}
				for range crowdSteps {
					j.steps = append(j.steps, step{Count: 2, CPU: 1, EstimatedMS: 1})
				}
				// After no response, a 502 or a 504 the same request is sent again.
				for range 3 {
					status := f.submit(f.gateways[0], j, 10*time.Second)
					if status != 0 && status != 502 && status != 504 {
						return
					}
					time.Sleep(retryTime)
				}
			})
		}
		group.Wait()
	}
	end := r.now()
	r.add("end of the traffic")
	f.watchLost(ordinary, end, end+crowdWatch)
	time.Sleep(end + crowdWatch - r.now())
	close(stop)
	ends := <-result
	core := 0
	for _, m := range f.coordinators {
		if ends[m.name] >= faultEnds {
			core++
		}
	}
	if 2*core >= len(f.coordinators) {
		r.violate("Fault", "on %d of %d coordinators the process has ended %d times or more: %v", core, len(f.coordinators), faultEnds, ends)
	}
	return nil
}
