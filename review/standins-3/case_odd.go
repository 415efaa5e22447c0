package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["odd-report"] = oddReport }

// oddReport lets another writer send one liveness report with missing fields for each
// runner, between the runner's own reports.
func oddReport(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 3, 3)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.ready(12, 3, 16000, []route{newRoute("q-1", "/q1/")}); err != nil {
		return err
	}
	if trouble {
		for _, runner := range f.runners {
			runner.mu.Lock()
			body := map[string]any{
				"service": runner.service, "address": runner.address, "zone": runner.zone, "state": "draining", "sequence": runner.sequence + 1,
			}
			runner.mu.Unlock()
			for _, address := range f.control() {
				status, answer, err := f.do(http.MethodPost, address, "/Instances.Heartbeat/"+runner.id, body, time.Second)
				r.add("report of another writer for %s, without version, slots, capacity, labels, clock-ms and born, is answered %d %s %v",
					runner.id, status, strings.TrimSpace(string(answer)), err)
				if status == http.StatusOK {
					break
				}
			}
		}
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	for i := range 6 {
		j := &job{id: newID(), prefix: "/q1/", steps: []step{{Count: 1, CPU: 6800, MemMB: 64, EstimatedMS: 500}}}
		f.submit(f.gateways[i%3], j, 2*time.Second)
		jobs = append(jobs, j)
		time.Sleep(200 * time.Millisecond)
	}
	end := r.now()
	r.add("end of the traffic")
	f.watchLost(jobs, end, end+30*time.Second)
	for _, j := range jobs {
		f.state(f.gateways[1], j)
	}
	return nil
}
