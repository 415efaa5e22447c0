package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["anti-affinity"] = antiAffinity }

// burstFactor is how many times the usual traffic comes in a burst.
const burstFactor = 2.4

// antiAffinity sends jobs whose tasks must be on different runners: one after the other,
// and with trouble many at once through all gateways.
func antiAffinity(r *record, trouble bool) error {
	f, err := newFleet(r, 3, 3, 3)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.ready(12, 3, 16000, []route{newRoute("q-1", "/q1/")}); err != nil {
		return err
	}
	// Ten tasks of 0.1 to 0.5 s, on 12 runners with room for five tasks each.
	newJob := func() *job {
		id := newID()
		return &job{
			id: id, prefix: "/q1/", steps: []step{{Count: 10, CPU: 3000, MemMB: 64, EstimatedMS: 300, AntiAffinity: 1}},
			work: func(s start) work { return work{time: spread(id, s.index, 100, 500)} },
		}
	}
	var group sync.WaitGroup
	traffic := func(length time.Duration, pause func() time.Duration) {
		until := time.Now().Add(length)
		for time.Now().Before(until) {
			group.Go(func() { f.submit(f.gateways[rand.IntN(3)], newJob(), 4*time.Second) })
			time.Sleep(pause())
		}
	}
	// Usually the jobs come one by one, in a burst by chance.
	usual := func() time.Duration { return 133 * time.Millisecond }
	for range 3 {
		traffic(4*time.Second, usual)
		if !trouble {
			traffic(6*time.Second, usual)
			continue
		}
		r.add("burst")
		traffic(6*time.Second, func() time.Duration {
			return time.Duration(rand.ExpFloat64() * float64(usual()) / burstFactor)
		})
	}
	group.Wait()
	time.Sleep(6 * time.Second)
	return nil
}

// spread returns a time between two bounds, in ms, that depends on the job and the task.
func spread(id string, index, from, to int) time.Duration {
	hash := fnv.New32a()
	fmt.Fprint(hash, id, index)
	return time.Duration(from+int(hash.Sum32()%uint32(to-from))) * time.Millisecond
}
