package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["memory"] = memory }

// settingsMemoryMB is memory-mb in the settings of each machine.
const settingsMemoryMB = 284

// memoryMB returns the resident memory of a machine's process, 0 if it has none.
func (m *machine) memoryMB() int64 {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) >> 20
}

// memoryGuard kills processes that use more than their memory and starts them again, as the
// platform does.
type memoryGuard struct {
	mu    sync.Mutex
	kills map[string]int
	most  map[string]int64
	stop  chan struct{}
	group sync.WaitGroup
}

func (c *cluster) guardMemory() *memoryGuard {
	g := &memoryGuard{kills: map[string]int{}, most: map[string]int64{}, stop: make(chan struct{})}
	for _, m := range c.machines() {
		g.group.Go(func() {
			for {
				select {
				case <-g.stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				used := m.memoryMB()
				g.mu.Lock()
				g.most[m.name] = max(g.most[m.name], used)
				g.mu.Unlock()
				if used <= settingsMemoryMB {
					continue
				}
				c.record.note("machine %s uses %d MB of %d", m.name, used, settingsMemoryMB)
				c.kill(m)
				g.mu.Lock()
				g.kills[m.name]++
				g.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if err := c.restart(m); err != nil {
					c.record.note("machine %s does not start: %v", m.name, err)
					return
				}
			}
		})
	}
	return g
}

// memory: stored jobs of 150 tasks without an estimate come at twice the usual rate.
func memory(rec *record, trouble bool) ([]string, error) {
	const (
		perSecond = 282 // twice the traffic of sites/bapm-badges.toml
		width     = 150
		floodFor  = 55 * time.Second
		after     = 25 * time.Second
		timesEach = 3 // ends of a process that count as a fault
	)
	c, err := newCluster(rec, 3, 0, 2, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for i := range 4 {
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: "desk", zone: fmt.Sprintf("zone-%d", i%3+1), rack: fmt.Sprintf("r1-%d", i/3), kind: "a",
			cpu: 16000, memMB: 32768, work: func(string) time.Duration { return 60 * time.Millisecond },
		})
		if err != nil {
			return nil, err
		}
	}
	if err := c.replaceConfig([]string{"desk"}, route("print", "/print/", "desk")); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	guard := c.guardMemory()
	tasks := width
	if !trouble {
		tasks = 1
	}
	var accepted, others atomic.Int64
	var group sync.WaitGroup
	slots := make(chan struct{}, 100)
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	began, last := time.Now(), time.Now()
	for i := 0; time.Since(began) < floodFor; i++ {
		<-ticker.C
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			j := &job{id: newID(), prefix: "/print/", steps: []step{{Count: tasks, CPU: 8000, MemMB: 64}}}
			if c.submitOnce(j, c.edges[i%len(c.edges)], 1500*time.Millisecond) == 200 {
				accepted.Add(1)
			} else {
				others.Add(1)
			}
		})
		if time.Since(last) >= time.Second {
			last = time.Now()
			rec.note("accepted %d, not accepted %d, memory %d, %d and %d MB", accepted.Load(), others.Load(),
				c.cores[0].memoryMB(), c.cores[1].memoryMB(), c.cores[2].memoryMB())
		}
	}
	group.Wait()
	rec.note("end of the traffic: accepted %d, not accepted %d", accepted.Load(), others.Load())
	time.Sleep(after)
	close(guard.stop)
	guard.group.Wait()
	faulty := 0
	var ends []string
	for _, m := range c.cores {
		rec.note("%s: ended %d times over its memory, at most %d MB", m.name, guard.kills[m.name], guard.most[m.name])
		if guard.kills[m.name] >= timesEach {
			faulty++
			ends = append(ends, fmt.Sprintf("%s %d times", m.name, guard.kills[m.name]))
		}
	}
	if 2*faulty >= len(c.cores) {
		return []string{fmt.Sprintf("Fault: processes of half of the core ended over their memory: %s; %d jobs were accepted", strings.Join(ends, ", "), accepted.Load())}, nil
	}
	return nil, nil
}
