package main

import (
	"fmt"
	"time"
)

func init() { scenarios["route"] = routeChange }

// routeChange: stored jobs wait for room in a service; the operator sends their route to
// another service and drops the first one from the config.
func routeChange(rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 0, 2, 3)
	if err != nil {
		return nil, err
	}
	defer c.close()
	const cpu = 8000
	work := func(string) time.Duration { return 2 * time.Second }
	for i := range 4 {
		service := map[bool]string{true: "desk-a", false: "desk-b"}[i < 2]
		err := c.addRunner(runnerOptions{
			id: fmt.Sprintf("i-%04d", i), service: service, zone: fmt.Sprintf("zone-%d", i%3+1), rack: fmt.Sprintf("r1-%d", i), kind: "a",
			cpu: 16000, memMB: 32768, work: work,
		})
		if err != nil {
			return nil, err
		}
	}
	if err := c.replaceConfig([]string{"desk-a", "desk-b"}, route("print", "/print/", "desk-a"), route("void", "/void/", "desk-b")); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	for i := range 8 {
		j := &job{id: newID(), prefix: "/print/", steps: []step{{Count: 2, CPU: cpu, MemMB: 64, EstimatedMS: 2000}}}
		if c.submit(j, i, 20) {
			jobs = append(jobs, j)
		}
	}
	if trouble {
		if err := c.replaceConfig([]string{"desk-b"}, route("print", "/print/", "desk-b"), route("void", "/void/", "desk-b")); err != nil {
			return nil, err
		}
	}
	rec.note("end of the traffic, %d jobs accepted", len(jobs))
	return c.lost(jobs, func(string) int64 { return cpu }), nil
}
