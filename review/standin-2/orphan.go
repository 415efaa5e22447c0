package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["orphan"] = orphan }

// leader returns the coordinator that logged last that it leads.
func (c *cluster) leader() *machine {
	for _, m := range c.cores {
		lines := c.logs(m, "event=voter_status")
		if len(lines) > 0 && contains(lines[len(lines)-1], "role=leader") {
			return m
		}
	}
	return nil
}

// configStatus returns the status of a read of the config at a coordinator.
func (c *cluster) configStatus(m *machine) int {
	status, _, err := call(http.MethodGet, m.ip, controlPort, "/Config.Get", nil, 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// traffic hands in stored jobs until stop is closed, and sends those again that were not
// accepted. It returns the accepted ones.
func (c *cluster) traffic(interval time.Duration, steps []step, stop <-chan struct{}) []*job {
	var mu sync.Mutex
	var group sync.WaitGroup
	var accepted []*job
	for i := 0; ; i++ {
		select {
		case <-stop:
			group.Wait()
			return accepted
		case <-time.After(interval):
		}
		group.Go(func() {
			j := &job{id: newID(), prefix: "/print/", steps: steps}
			if c.submit(j, i, 20) {
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
			}
		})
	}
}

// orphan: a coordinator is replaced by an empty one while the core is split in two for 4 s.
// When all is well again for recovery-s, the other coordinators are stopped and started in
// turn under traffic.
func orphan(rec *record, trouble bool) ([]string, error) {
	const (
		cpu       = 8000
		splitFor  = 4 * time.Second
		recovery  = 12 * time.Second
		rollSteps = 10
		rollGap   = 4200 * time.Millisecond
	)
	c, err := newCluster(rec, 4, 1, 4, 4)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for i := range 6 {
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: "desk", zone: fmt.Sprintf("zone-%d", i%4+1), rack: fmt.Sprintf("r1-%d", i/3), kind: "a",
			cpu: 16000, memMB: 32768, work: func(string) time.Duration { return 900 * time.Millisecond },
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
	time.Sleep(4 * time.Second)
	leader, gone, added := c.leader(), c.cores[3], c.spares[0]
	if leader == nil || leader == gone {
		return nil, fmt.Errorf("the leader is none of the first three coordinators")
	}
	rec.note("the leader is %s", leader.name)
	c.kill(gone) // for good
	time.Sleep(time.Second)
	added.zone = gone.zone
	if err := c.restart(added); err != nil {
		return nil, err
	}
	c.cores, c.spares = append(slices.Clone(c.cores[:3]), added), []*machine{gone}
	others := slices.DeleteFunc(slices.Clone(c.cores), func(m *machine) bool { return m == leader || m == added })
	split := func(on bool) {
		for _, m := range others {
			c.cut(m, leader, on)
			c.cut(m, added, on)
		}
		rec.note("%s and %s are cut off from the other two: %t", leader.name, added.name, on)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		split(true)
	}
	time.Sleep(splitFor)
	if trouble {
		split(false)
	}
	time.Sleep(recovery)
	for _, m := range c.cores {
		rec.note("operator Config.Get at %s: %d", m.name, c.configStatus(m))
	}
	steps := []step{{Count: 2, CPU: cpu, MemMB: 64, EstimatedMS: 900}, {Count: 2, CPU: cpu, MemMB: 64, EstimatedMS: 900, After: []int{0}}}
	stop, accepted := make(chan struct{}), make(chan []*job)
	go func() { accepted <- c.traffic(500*time.Millisecond, steps, stop) }()
	for i := range rollSteps {
		time.Sleep(rollGap)
		m := c.cores[i%3]
		c.terminate(m)
		if err := c.restart(m); err != nil {
			return nil, err
		}
	}
	time.Sleep(rollGap)
	close(stop)
	jobs := <-accepted
	rec.note("end of the traffic, %d jobs accepted", len(jobs))
	for _, m := range c.cores {
		for _, line := range append(c.logs(m, "event=home_moved"), c.logs(m, "event=voter_status")...) {
			rec.note("log of %s: %s", m.name, line)
		}
	}
	rec.note("operator Config.Get at %s: %d", added.name, c.configStatus(added))
	return c.lost(jobs, func(string) int64 { return cpu }), nil
}
