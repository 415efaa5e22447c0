package main

import (
	"fmt"
	"time"
)

func init() { scenarios["trials"] = trials }

// trials: one runner of eight, the only one with the label that five stored jobs require,
// is down once for 2 s.
func trials(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 0, 2, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	const cpu = 800
	for i := range 8 {
		kind := map[bool]string{true: "b", false: "a"}[i == 0]
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: "desk", zone: fmt.Sprintf("zone-%d", i%3+1), rack: fmt.Sprintf("r1-%d", i/6), kind: kind,
			cpu: 16000, memMB: 32768, work: func(string) time.Duration { return 3600 * time.Millisecond },
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
	var jobs []*job
	for i := range 5 {
		j := &job{id: newID(), prefix: "/print/", steps: []step{{Count: 4, CPU: cpu, MemMB: 64, EstimatedMS: 3600, Requirement: "b"}}}
		if c.submit(j, i, 20) {
			jobs = append(jobs, j)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		c.runners[0].crash(2 * time.Second)
	}
	rec.note("end of the traffic, %d jobs accepted", len(jobs))
	return c.lost(jobs, func(string) int64 { return cpu }), nil
}
