package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// playPending: the only runner of a kind is lost for good, and jobs that require the
// kind wait. The number of pending jobs may not be under half of those that were
// accepted visible_ms + 2 s before and haven't begun.
func playPending(ctx context.Context, p *play) error {
	const jobs = 10
	p.fleet.workTime = func(string, int, time.Duration) (time.Duration, string) { return time.Second, "done" }
	labels := [][]string{{"b", "rack-1"}}
	for range 7 {
		labels = append(labels, []string{"a", "rack-2"})
	}
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	caller := newClient(p.rec, "client")
	if p.trouble {
		p.runners[0].crash()
	}
	accepted := 0
	for i := range jobs {
		if p.store(ctx, caller, p.gateways[i%2], jobID(i), map[string]any{
			"count": 1, "cpu": 3000, "mem-mb": 64, "estimated-ms": 1000, "requirements": "b",
		}) {
			accepted++
		}
	}
	if err := sleep(ctx, (visibleMS+2000+1000)*time.Millisecond); err != nil {
		return err
	}
	for range 10 {
		notBegun := accepted
		for i := range jobs {
			if len(p.fleet.of(jobID(i))) > 0 {
				notBegun--
			}
		}
		for _, g := range p.gateways {
			status, body := p.job(ctx, caller, g, http.MethodGet, "", nil, 2*time.Second)
			var answer struct {
				Pending int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
				continue
			}
			if 2*answer.Pending < notBegun {
				p.violate("MIXED: gateway %s gives %d jobs as pending, %d have been accepted over 6 s before and haven't begun", g.ip, answer.Pending, notBegun)
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}
