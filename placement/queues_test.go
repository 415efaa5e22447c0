package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("a job whose queue gets another service", func() {
	const id = "0000000000000001"
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.step(0, placement.LogReadConfirmed{StartedAt: h.now})
	})

	acquireFor := func(target, service string) {
		d := description(target, 1)
		d.Service = service
		h.step(0, placement.Heartbeat{Description: d})
		polls := take[placement.PollOrder](h)
		h.step(time.Millisecond, placement.OrderResponse{Order: polls[len(polls)-1].Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
	}
	queues := func(version uint64, service string) placement.QueuesChanged {
		change := placement.QueuesChanged{Version: version, Services: map[string]bool{service: true}, Queues: map[string]placement.Queue{}}
		if service != "" {
			change.Queues["q"] = placement.Queue{Service: service, Stretch: 1.6, Allowance: 60 * time.Millisecond}
		}
		return change
	}
	stored := func(service string, version uint64, tasks int, progress ...placement.TaskProgress) placement.StoredJobChanged {
		j := job(id, tasks)
		j.Stored, j.Service, j.DocumentVersion = true, service, version
		return placement.StoredJobChanged{Job: j, Home: "c0/1", RunLimit: 1000, Tasks: [][]placement.TaskProgress{progress}}
	}
	started := func() map[string]string {
		targets := map[string]string{}
		for _, start := range take[placement.StartOrder](h) {
			targets[start.Task] = start.Target.ID
		}
		return targets
	}

	// Guards against a stored job that waits for good for targets of the earlier service,
	// and against a second start of a task whose start there is in flight.
	It("starts its waiting tasks on targets of the new one, and no task twice", func() {
		acquireFor("old", "desk")
		h.step(0, stored("desk", 1, 3, placement.TaskProgress{}, placement.TaskProgress{}, placement.TaskProgress{}))
		Expect(started()).To(HaveLen(2), "the target has room for two tasks")
		acquireFor("new", "desk-2")
		Expect(started()).To(BeEmpty())
		h.step(time.Millisecond, stored("desk-2", 2, 3, placement.TaskProgress{}, placement.TaskProgress{}, placement.TaskProgress{}))
		Expect(started()).To(Equal(map[string]string{id + ".0.0.2": "new"}))
		Expect(take[placement.StopOrder](h)).To(BeEmpty(), "a run on the earlier service was stopped")
		events := take[placement.Decision](h)
		Expect(events).To(ContainElement(And(
			HaveField("Event", "job_follows_queue"), HaveField("Job", id), HaveField("Reason", "queue q: service desk to desk-2"), HaveField("Value", int64(2)),
		)))
	})

	// Guards against a job that is not stored, waits for the earlier service and is
	// refused, with capacity in the new one.
	It("starts there although it is not stored", func() {
		h.step(0, queues(1, "desk"))
		h.submit(id, 1, 1)
		acquireFor("new", "desk-2")
		Expect(started()).To(BeEmpty())
		h.step(time.Millisecond, queues(2, "desk-2"))
		Expect(started()).To(Equal(map[string]string{id + ".0.0.0": "new"}))
	})

	// Guards against a job from a gateway that is behind by a document.
	It("starts there although it was submitted under the earlier document", func() {
		acquireFor("new", "desk-2")
		h.step(0, queues(2, "desk-2"))
		j := job(id, 1)
		j.DocumentVersion = 1
		h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: j})
		Expect(started()).To(Equal(map[string]string{id + ".0.0.0": "new"}))
	})

	// Guards against a job from a gateway that is ahead of its home by a document.
	It("keeps the service of a newer document than that of its home", func() {
		acquireFor("new", "desk-2")
		h.step(0, queues(1, "desk"))
		j := job(id, 1)
		j.Service, j.DocumentVersion = "desk-2", 2
		h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: j})
		Expect(started()).To(Equal(map[string]string{id + ".0.0.0": "new"}))
	})

	// Guards against an accepted job that is lost with its queue.
	It("keeps its service when the queue is removed", func() {
		h.step(0, queues(1, "desk"))
		h.step(0, stored("desk", 1, 1, placement.TaskProgress{}))
		h.step(0, placement.QueuesChanged{Version: 2, Services: map[string]bool{"desk": true}})
		acquireFor("old", "desk")
		Expect(started()).To(Equal(map[string]string{id + ".0.0.0": "old"}))
	})

	// Guards against stored jobs that wait for a service without targets, and nothing says so.
	It("is reported while its service has no targets", func() {
		h.step(0, queues(1, "desk"))
		h.step(0, stored("desk", 1, 1, placement.TaskProgress{}))
		unserved := func() []placement.Decision {
			var found []placement.Decision
			for _, d := range take[placement.Decision](h) {
				if d.Event == "job_unserved" || d.Event == "job_served_again" {
					found = append(found, d)
				}
			}
			return found
		}
		h.step(time.Second, placement.Tick{})
		Expect(unserved()).To(BeEmpty())
		Expect(h.core.Status().Unserved).To(Equal(1))
		for range 8 {
			h.step(time.Second, placement.LogReadConfirmed{StartedAt: h.now})
			h.step(0, placement.Tick{})
		}
		Expect(unserved()).To(ConsistOf(And(HaveField("Job", id), HaveField("Reason", "service desk has no usable target"))))
		h.step(0, placement.QueuesChanged{Version: 2})
		acquireFor("old", "desk")
		h.step(0, placement.Tick{})
		Expect(h.core.Status().Unserved).To(BeZero())
	})

	It("is reported when the document lacks its service and its queue", func() {
		h.step(0, stored("desk", 1, 1, placement.TaskProgress{}))
		h.step(0, placement.QueuesChanged{Version: 2})
		for range 8 {
			h.step(time.Second, placement.Tick{})
		}
		Expect(take[placement.Decision](h)).To(ContainElement(And(
			HaveField("Event", "job_unserved"), HaveField("Reason", "document 2 lacks service desk, document 2 lacks queue q"),
		)))
	})
})
