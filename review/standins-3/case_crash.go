package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["rack-crash"] = rackCrash }

// rackCrash crashes the workers of one rack while each runs a stored job's only task.
func rackCrash(r *record, trouble bool) error {
	f, err := newFleet(r, 4, 4, 4)
	if err != nil {
		return err
	}
	defer f.close()
	// 42 runners in 7 racks of 6.
	for i := range 42 {
		if _, err := f.addRunner(f.zones[i/6%4], fmt.Sprintf("r1-%d", 1+i/6), 16000); err != nil {
			return err
		}
	}
	if err := f.ready(0, 1, 0, []route{newRoute("q-1", "/q1/")}); err != nil {
		return err
	}
	var jobs []*job
	for range 6 {
		j := &job{
			id: newID(), prefix: "/q1/", steps: []step{{Count: 1, CPU: 14000, MemMB: 64, EstimatedMS: 10000, Affinity: "r1-1"}},
			work: func(start) work { return work{time: 10 * time.Second} },
		}
		if status := f.submit(f.gateways[0], j, 2*time.Second); status != 200 {
			return fmt.Errorf("a job is not accepted: %d", status)
		}
		jobs = append(jobs, j)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		r.add("the workers of rack r1-1 crash for 4.5 s")
		for _, runner := range f.runners {
			if strings.Contains(strings.Join(runner.labels, ","), "r1-1") {
				runner.crash()
				time.AfterFunc(4500*time.Millisecond, func() { _ = runner.start() }) // a failure shows in the record
			}
		}
	}
	trafficEnd := r.now()
	r.add("end of the traffic")
	f.watchLost(jobs, trafficEnd, 100*time.Second)
	for _, j := range jobs {
		f.state(f.gateways[1], j)
	}
	return nil
}
