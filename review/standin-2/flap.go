package main

import (
	"fmt"
	"time"
)

func init() { scenarios["flap"] = flap }

// flap: one runner of ten goes down and up, twice for 6.5 s. It is the only one with the
// label that a stored job requires.
func flap(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 0, 2, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	const (
		cpu    = 8000
		period = 1400 * time.Millisecond
		length = 6500 * time.Millisecond
		pause  = 4 * time.Second
	)
	work := func(string) time.Duration { return 900 * time.Millisecond }
	for i := range 10 {
		kind := map[bool]string{true: "b", false: "a"}[i == 0]
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: "desk", zone: fmt.Sprintf("zone-%d", i%3+1), rack: fmt.Sprintf("r1-%d", i/6), kind: kind,
			cpu: 16000, memMB: 32768, work: work,
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
	flapOnce := func() {
		if !trouble {
			time.Sleep(length)
			return
		}
		for began := time.Now(); time.Since(began) < length; {
			time.Sleep(period / 2)
			c.runners[0].crash(period / 2)
			time.Sleep(period / 2)
		}
	}
	var jobs []*job
	for i := range 4 {
		j := &job{id: newID(), prefix: "/print/", steps: []step{{Count: 1, CPU: cpu, MemMB: 64, EstimatedMS: 900, Requirement: "b"}}}
		if c.submit(j, i, 20) {
			jobs = append(jobs, j)
		}
	}
	flapOnce()
	time.Sleep(pause)
	flapOnce()
	rec.note("end of the traffic, %d jobs accepted", len(jobs))
	for _, m := range c.cores {
		for _, line := range c.logs(m, "task_delayed") {
			rec.note("log of %s: %s", m.name, line)
		}
	}
	return c.lost(jobs, func(string) int64 { return cpu }), nil
}
