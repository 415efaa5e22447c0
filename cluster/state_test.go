package cluster

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/consensus"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// fakeCore has the jobs whose IDs are in it.
type fakeCore map[string]bool

func (f fakeCore) StoredJobs() []string  { return slices.Collect(maps.Keys(f)) }
func (f fakeCore) HasJob(id string) bool { return f[id] }

var _ = Describe("stateStore", func() {
	apply := func(s *stateStore, command *wire.LogCommand) *wire.LogAnswer {
		data, err := proto.Marshal(command)
		Expect(err).NotTo(HaveOccurred())
		encoded, err := s.Apply(&consensus.Entry{Data: data})
		Expect(err).NotTo(HaveOccurred())
		var answer wire.LogAnswer
		Expect(proto.Unmarshal(encoded, &answer)).To(Succeed())
		return &answer
	}
	replace := func(s *stateStore, version uint64, body string) {
		apply(s, &wire.LogCommand{Document: &wire.DocumentState{Version: version, Body: []byte(body)}})
	}
	accept := func(s *stateStore, id, home string) {
		job := &placement.Job{ID: id, Stored: true, MaxAttempts: 2, Steps: []placement.Step{{Count: 2}}}
		apply(s, &wire.LogCommand{Jobs: []*wire.JobCommand{{Body: &wire.JobCommand_Accept{
			Accept: &wire.JobAccept{Job: jobToWire(1, job), Home: home},
		}}}})
	}
	noJobs := fakeCore{}

	// Guards against an older document, or another one with the same version, that
	// replaces the applied one.
	It("keeps the first document with the highest version", func() {
		s := newStateStore(time.Minute, noQueues)
		replace(s, 7, "seven")
		replace(s, 5, "five")
		replace(s, 7, "other seven")
		Expect(s.currentDocument()).To(Equal(Document{Version: 7, Body: []byte("seven")}))
	})

	// queueOf is a document whose only queue q has the service in its body.
	queueOf := func(document Document) (jobtable.Queues, bool) {
		return jobtable.Queues{Version: document.Version, ByName: map[string]jobtable.Queue{"q": {Service: string(document.Body)}}}, true
	}
	acceptInQueue := func(s *stateStore, id, service string, version uint64) {
		job := &placement.Job{ID: id, Queue: "q", Service: service, DocumentVersion: version, Stored: true, MaxAttempts: 2, Steps: []placement.Step{{Count: 2}}}
		apply(s, &wire.LogCommand{Jobs: []*wire.JobCommand{{Body: &wire.JobCommand_Accept{
			Accept: &wire.JobAccept{Job: jobToWire(1, job), Home: "c1/1"},
		}}}})
	}
	services := func(s *stateStore) []string {
		var found []string
		for _, change := range s.takeChanged("c1/1", noJobs) {
			found = append(found, change.Job.Service)
		}
		return found
	}

	// Guards against stored jobs that wait for good for the service that their queue had
	// when they were accepted.
	It("lets stored jobs follow the document", func() {
		s := newStateStore(time.Minute, queueOf)
		replace(s, 1, "a")
		acceptInQueue(s, "00000000000000aa", "a", 1)
		Expect(services(s)).To(ConsistOf("a"))
		replace(s, 2, "b")
		Expect(services(s)).To(ConsistOf("b"))
		acceptInQueue(s, "00000000000000bb", "a", 1) // by a gateway that is behind
		Expect(services(s)).To(ConsistOf("b"))
	})

	// Guards against a coordinator that restarts from a snapshot and waits for the earlier
	// service again, also from one that an earlier version has written.
	It("lets the jobs of a snapshot follow its document", func() {
		earlier, s := newStateStore(time.Minute, noQueues), newStateStore(time.Minute, queueOf)
		replace(earlier, 1, "a")
		acceptInQueue(earlier, "00000000000000aa", "a", 0)
		replace(earlier, 2, "b")
		data, err := earlier.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Restore(data)).To(Succeed())
		Expect(services(s)).To(ConsistOf("b"))
	})

	// Guards against a document that cannot be decoded here and stops the log.
	It("keeps stored jobs as they are under a document that it cannot read", func() {
		s := newStateStore(time.Minute, func(Document) (jobtable.Queues, bool) { return jobtable.Queues{}, false })
		acceptInQueue(s, "00000000000000aa", "a", 1)
		replace(s, 2, "b")
		Expect(services(s)).To(ConsistOf("a"))
		Expect(s.currentDocument().Version).To(Equal(uint64(2)))
	})

	// Guards against a document or a job that a snapshot loses or changes.
	It("restores a snapshot", func() {
		s, restored := newStateStore(time.Minute, noQueues), newStateStore(time.Minute, noQueues)
		replace(s, 9, "nine")
		accept(s, "00000000000000aa", "c1/1")
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.currentDocument()).To(Equal(s.currentDocument()))
		Expect(restored.takeChanged("c1/1", noJobs)).To(Equal(s.takeChanged("c1/1", noJobs)))
		Expect(restored.Restore([]byte("x"))).NotTo(Succeed())
	})

	// Guards against an acknowledged evacuation that is lost with a snapshot, or that a
	// coordinator keeps although the snapshot that it was sent lacks it.
	It("keeps evacuations over a snapshot", func() {
		s, restored := newStateStore(time.Minute, noQueues), newStateStore(time.Minute, noQueues)
		order := &wire.EvacuationOrder{DataCentre: "dc0", Evacuate: true}
		answer := apply(s, &wire.LogCommand{ClockUnixMs: 9, Evacuation: order})
		Expect(answer.GetEvacuationApplied().GetOutcome()).To(Equal(wire.EvacuationOutcome_EVACUATION_OUTCOME_APPLIED))
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.evacuationState("dc0")).To(Equal(evacuation.State{Evacuated: true, Revision: 1, SinceUnixMS: 9}))
		earlier, err := proto.Marshal(&wire.CoordinatorState{Document: &wire.DocumentState{Version: 3}})
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(earlier)).To(Succeed())
		Expect(restored.evacuationState("dc0")).To(BeZero())
	})

	// Guards against a change that is not passed to the core, such as a job that a
	// restored snapshot lacks.
	It("returns each change once, and after a restore the jobs that are gone", func() {
		s, empty := newStateStore(time.Minute, noQueues), newStateStore(time.Minute, noQueues)
		accept(s, "00000000000000aa", "c1/1")
		changes := s.takeChanged("c1/1", noJobs)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Home).To(Equal("c1/1"))
		Expect(changes[0].Job.Stored).To(BeTrue())
		Expect(changes[0].Tasks).To(Equal([][]placement.TaskProgress{{{}, {}}}))
		Expect(s.takeChanged("c1/1", noJobs)).To(BeEmpty())
		data, err := empty.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Restore(data)).To(Succeed())
		Expect(s.takeChanged("c1/1", fakeCore{"00000000000000aa": true})).To(ConsistOf(
			placement.StoredJobChanged{Job: placement.Job{ID: "00000000000000aa"}, Ended: true}))
	})

	// Guards against work on each coordinator for the jobs of all homes.
	It("leaves out jobs of other homes unless the core has them", func() {
		s := newStateStore(time.Minute, noQueues)
		accept(s, "00000000000000aa", "c1/1")
		accept(s, "00000000000000bb", "c2/1")
		accept(s, "00000000000000cc", "c2/1")
		changes := s.takeChanged("c1/1", fakeCore{"00000000000000cc": true})
		Expect(changes).To(HaveLen(2))
		for _, change := range changes {
			Expect(change.Job.ID).NotTo(Equal("00000000000000bb"))
		}
	})

	// Guards against a document whose effects are seen and then taken back by a
	// restart, because its commit was not durable yet.
	It("publishes a document only once its commit is durable", func() {
		s := newStateStore(time.Minute, noQueues)
		index := uint64(0)
		replaceAt := func(version uint64) {
			index++
			data, err := proto.Marshal(&wire.LogCommand{Document: &wire.DocumentState{Version: version}})
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Apply(&consensus.Entry{Index: index, Data: data})
			Expect(err).NotTo(HaveOccurred())
		}
		replaceAt(3)
		replaceAt(5)
		Expect(s.currentDocument().Version).To(Equal(uint64(5)))
		Expect(s.syncedDocument().Version).To(BeZero())
		s.commitSynced(1)
		Expect(s.syncedDocument().Version).To(Equal(uint64(3)))
		s.commitSynced(2)
		Expect(s.syncedDocument().Version).To(Equal(uint64(5)))
	})

	// Guards against a job that is in the log but reported as unknown.
	It("returns the state of a job", func() {
		s := newStateStore(time.Minute, noQueues)
		Expect(s.jobState("00000000000000aa")).To(Equal(wire.StoredState_STORED_STATE_NONE))
		accept(s, "00000000000000aa", "c1/1")
		Expect(s.jobState("00000000000000aa")).To(Equal(wire.StoredState_STORED_STATE_QUEUED))
		Expect(s.openJobsByHome()).To(Equal(map[string]int{"c1/1": 1}))
	})
})

// noQueues is for tests whose documents have no queues.
func noQueues(document Document) (jobtable.Queues, bool) {
	return jobtable.Queues{Version: document.Version}, true
}
