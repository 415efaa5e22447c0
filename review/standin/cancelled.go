package main

import (
	"context"
	"net/http"
	"time"
)

// playCancelled: a job is cancelled, and an earlier attempt to hand it in arrives
// seconds later. No task of it may start later than cancel_ms after the cancelling was
// acknowledged.
func playCancelled(ctx context.Context, p *play) error {
	const work = 6 * time.Second
	p.fleet.workTime = func(string, int, time.Duration) (time.Duration, string) { return work, "done" }
	labels := make([][]string, 8)
	for i := range labels {
		labels[i] = []string{"a", "rack-1"}
	}
	if err := p.begin(ctx, 3, labels); err != nil {
		return err
	}
	caller, id := newClient(p.rec, "client"), jobID(1)
	body := map[string]any{"spec": "spec", "best-effort": true, "steps": []map[string]any{
		{"count": 2, "cpu": 14000, "mem-mb": 64, "estimated-ms": work.Milliseconds()},
	}}
	if p.trouble {
		p.rec.add("client sends POST %s; its channel breaks, and the request is held up on its way", id)
	}
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		p.job(ctx, caller, p.gateways[0], http.MethodPost, id, body, 10*time.Second)
	}()
	if err := p.awaitWorking(ctx, id); err != nil {
		return err
	}
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return err
	}
	status, _ := p.job(ctx, caller, p.gateways[1], http.MethodDelete, id, nil, 2*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		p.rec.add("the cancelling is not acknowledged")
		return nil
	}
	acknowledged := p.rec.now()
	<-submitted
	if err := sleep(ctx, acknowledged+(cancelMS+1000)*time.Millisecond-p.rec.now()); err != nil {
		return err
	}
	if p.trouble {
		p.rec.add("the request that was held up arrives")
		go p.job(ctx, newClient(p.rec, "network"), p.gateways[0], http.MethodPost, id, body, 10*time.Second)
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	for _, s := range p.fleet.of(id) {
		if s.started > acknowledged+cancelMS*time.Millisecond {
			p.violate("UNASKED: task %s starts %.3f s after the cancelling of its job was acknowledged", s.task, (s.started - acknowledged).Seconds())
		}
	}
	return nil
}
