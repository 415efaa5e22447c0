package main

import (
	"fmt"
	"time"
)

func init() { scenarios["first"] = firstStart }

// firstStart: at the first start of the whole system one of four coordinators, which is
// among the seeds, is lost for good half a second after its start.
func firstStart(rec *record, trouble bool) ([]string, error) {
	const (
		cpu   = 8000
		watch = 60 * time.Second
	)
	c, err := newCluster(rec, 4, 0, 4, 4)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if trouble {
		lost := c.cores[1]
		c.kill(lost)
		c.cores = append(c.cores[:1:1], c.cores[2:]...)
		c.spares = append(c.spares, lost)
	}
	for i := range 4 {
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: "desk", zone: fmt.Sprintf("zone-%d", i+1), rack: fmt.Sprintf("r1-%d", i/3), kind: "a",
			cpu: 16000, memMB: 32768, work: func(string) time.Duration { return 60 * time.Millisecond },
		})
		if err != nil {
			return nil, err
		}
	}
	c.version = 1
	began := time.Now()
	acknowledged, served, requests := false, 0, 0
	for time.Since(began) < watch {
		if !acknowledged {
			acknowledged = c.sendConfig(4*time.Second, []string{"desk"}, route("print", "/print/", "desk")) == nil
		}
		for i, edge := range c.edges {
			j := &job{id: newID(), prefix: "/print/", bestEffort: i%2 == 0, steps: []step{{Count: 2, CPU: cpu, MemMB: 64, EstimatedMS: 60}}}
			requests++
			if c.submitOnce(j, edge, 1500*time.Millisecond) == 200 {
				served++
			}
		}
		time.Sleep(time.Second)
	}
	rec.note("config acknowledged: %t; %d of %d requests served", acknowledged, served, requests)
	for _, m := range c.cores {
		for _, line := range c.logs(m, "event=voter_status") {
			rec.note("log of %s: %s", m.name, line)
		}
	}
	if served == 0 {
		return []string{fmt.Sprintf("Fault: no request of %d is served in %s, with three of four coordinators up; config acknowledged: %t", requests, watch, acknowledged)}, nil
	}
	return nil, nil
}
