package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// documentBound is how long after a document is in the log a task of a stored job may
// still start by an earlier one, at a home that has not applied it yet.
const documentBound = 2 * time.Second

// simDocuments are the documents of a simulation. Each gives the only queue one of two
// services.
type simDocuments struct {
	entries []simDocument
}

type simDocument struct {
	index   int // of its entry in the log
	at      time.Duration
	service string
}

var simServices = [...]string{"desk", "desk-2"}

func (d *simDocuments) version() uint64 { return uint64(len(d.entries)) }

func (d *simDocuments) service() string { return simServices[len(d.entries)%len(simServices)] }

// splitServices gives half of the targets the other service, before their first heartbeat.
func (s *simulation) splitServices() {
	for i, t := range s.targets {
		t.runner.Description.Service = simServices[i%len(simServices)]
	}
}

// moveQueue appends a document that gives the queue the other service.
func (s *simulation) moveQueue() {
	d := &s.documents
	d.entries = append(d.entries, simDocument{index: len(s.log.commands), at: s.now, service: simServices[(len(d.entries)+1)%len(simServices)]})
	s.log.table.SetQueues(d.queues(d.version()))
	s.log.commands = append(s.log.commands, &wire.JobCommand{}) // the entry of the document
}

func (d *simDocuments) queues(version uint64) jobtable.Queues {
	return jobtable.Queues{Version: version, ByName: map[string]jobtable.Queue{
		"q": {Service: d.entries[version-1].service, Priority: 1, Stretch: 1.6, AllowanceMS: 60},
	}}
}

// lackService reports whether the newest document lacks the service of a target, whose
// heartbeats are then refused.
func (d *simDocuments) lackService(t *simTarget) bool {
	return len(d.entries) > 0 && d.entries[len(d.entries)-1].service != t.runner.Description.Service
}

// applyDocument applies the document at a coordinator's position in the log.
func (s *simulation) applyDocument(c *simCoordinator, changed map[string]bool) {
	for version := c.table.QueuesVersion() + 1; version <= s.documents.version(); version++ {
		entry := s.documents.entries[version-1]
		if entry.index > c.applied {
			return
		}
		for _, j := range c.table.SetQueues(s.documents.queues(version)) {
			changed[j.ID] = true
		}
		s.step(c, placement.QueuesChanged{
			Version: version, Services: map[string]bool{entry.service: true},
			Queues: map[string]placement.Queue{"q": {Service: entry.service, Priority: 1, Stretch: 1.6, Allowance: 60 * time.Millisecond}},
		})
	}
}

// storedJob returns a stored job as it is in a coordinator's log.
func (s *simulation) storedJob(j *jobtable.Job) placement.Job {
	job, submission := s.jobs[j.ID], j.Submission
	job.Service, job.Priority, job.Stretch = submission.GetService(), int(submission.GetPriority()), submission.GetStretch()
	job.Allowance = time.Duration(submission.GetObjectiveMs()) * time.Millisecond
	job.DocumentVersion = submission.GetDocumentVersion()
	return job
}

// started records a violation if a task of a stored job starts on a service that its queue
// has not had for documentBound.
func (d *simDocuments) started(s *simulation, t *simTarget, task string) {
	if len(d.entries) == 0 || !s.jobs[placement.JobID(task)].Stored {
		return
	}
	newest := d.entries[len(d.entries)-1]
	if service := t.runner.Description.Service; service != newest.service && s.now-newest.at > documentBound {
		s.violations = append(s.violations, fmt.Sprintf("task %s starts on service %s %s after the queue has moved", task, service, s.now-newest.at))
	}
}

var _ = Describe("a document that moves the queue", func() {
	// Each guards against stored jobs that wait for good for the earlier service, tasks that
	// run on both, and starts on the earlier service long after the move.
	DescribeTable("while stored jobs wait", func(injectFaults func(*simulation)) {
		first, count := seedRange()
		for seed := first; seed < first+count; seed++ {
			s := newSimulation(seed, 3, 12)
			s.storedShare = 0.7
			s.splitServices()
			runSchedule(s, 55, func(s *simulation) {
				s.repeat(3, 3*time.Second, s.moveQueue)
				injectFaults(s)
			})
			expectInvariants(s, seed)
			Expect(s.log.completed).To(BeNumerically(">", 100), "seed %d", seed)
		}
	},
		Entry("without faults", func(*simulation) {}),
		Entry("while coordinators are killed and paused", loseCoordinators),
		Entry("while coordinators stop following the log", func(s *simulation) {
			s.repeat(3, 2500*time.Millisecond, func() {
				c := s.randomCoordinator()
				s.detach(c)
				s.after(s.randomTime(5*time.Second), func() { s.attach(c) })
			})
		}),
		Entry("while a coordinator is cut off", func(s *simulation) {
			s.isolate(s.randomCoordinator(), time.Second+s.randomTime(4*time.Second))
		}),
		Entry("while callers return elsewhere", callersReturn(10*time.Millisecond)),
		Entry("while callers are reset and return elsewhere at once", func(s *simulation) {
			s.repeat(25, 300*time.Millisecond, func() { s.resetCallers(0.45) })
		}),
	)
})
