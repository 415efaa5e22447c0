package cluster

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/consensus"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

var _ = Describe("the evacuations of a coordinator", func() {
	const bound = 5 * time.Second
	var (
		s *stateStore
		e *evacuations
	)
	BeforeEach(func() {
		s = newStateStore(time.Minute, noQueues)
		e = newEvacuations(EvacuationOptions{Bound: bound, DataCentres: []string{"dc0"}}, s, time.Hour)
	})
	entry := func(index uint64, command *wire.LogCommand) *consensus.Entry {
		data, err := proto.Marshal(command)
		Expect(err).NotTo(HaveOccurred())
		return &consensus.Entry{Index: index, Kind: consensus.EntryKind_ENTRY_KIND_COMMAND, Data: data}
	}
	order := func(dataCentre string, evacuate bool, revision uint64) *wire.LogCommand {
		return &wire.LogCommand{ClockUnixMs: 9, Evacuation: &wire.EvacuationOrder{DataCentre: dataCentre, Evacuate: evacuate, Revision: revision}}
	}
	snapshot := func(commands ...*wire.LogCommand) *consensus.Snapshot {
		other := newStateStore(time.Minute, noQueues)
		for i, command := range commands {
			_, err := other.Apply(entry(uint64(i+1), command))
			Expect(err).NotTo(HaveOccurred())
		}
		data, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		return &consensus.Snapshot{Index: uint64(len(commands)), Data: data}
	}
	unknown := placement.EvacuationsChanged{Unknown: true}
	set := func(dataCentres ...string) placement.EvacuationsChanged {
		return placement.EvacuationsChanged{DataCentres: dataCentres}
	}

	// Guards against starts after a loss of all power while no leader is elected: until
	// then entries after the last commit on the disk may be committed or not, so only
	// those of them that forbid starts may be followed.
	It("include the log on the disk, and only evacuations after the last commit", func() {
		Expect(e.current()).To(Equal(unknown))
		persisted := &consensus.PersistentState{
			Snapshot: snapshot(order("dc0", true, 0), order("dc1", true, 0)),
			Entries: []*consensus.Entry{
				entry(2, order("dc1", true, 0)), // in the snapshot
				{Index: 3},                      // no command
				entry(4, order("dc2", true, 0)),
				entry(5, order("dc1", false, 1)),
				entry(6, order("dc0", false, 0)), // conflicts
			},
		}
		Expect(e.diskOpened(persisted)).To(Succeed())
		Expect(e.current()).To(Equal(set("dc0", "dc1", "dc2")), "the revocation may be overwritten")
		persisted.Hard = &consensus.HardState{Commit: 4}
		Expect(e.diskOpened(persisted)).To(Succeed())
		Expect(e.current()).To(Equal(set("dc0", "dc1", "dc2")))
		persisted.Hard.Commit = 5
		Expect(e.diskOpened(persisted)).To(Succeed())
		Expect(e.current()).To(Equal(set("dc0", "dc2")), "the revocation is committed")
		_, err := s.Apply(entry(1, order("dc0", true, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(e.current()).To(Equal(set("dc0", "dc2")), "the log is not read to its end yet")
		e.readDone(time.Hour, nil)
		Expect(e.current()).To(Equal(set("dc0")), "the log counts")
	})

	// Guards against starts while the log is replayed up to an uncommitted revocation
	// that another evacuation follows.
	It("follow an evacuation on the disk after an uncommitted revocation", func() {
		Expect(e.diskOpened(&consensus.PersistentState{
			Hard: &consensus.HardState{Commit: 1},
			Entries: []*consensus.Entry{
				entry(1, order("dc0", true, 0)),
				entry(2, order("dc0", false, 1)),
				entry(3, order("dc0", true, 2)),
			},
		})).To(Succeed())
		for i, command := range []*wire.LogCommand{order("dc0", true, 0), order("dc0", false, 1), order("dc0", true, 2)} {
			_, err := s.Apply(entry(uint64(i+1), command))
			Expect(err).NotTo(HaveOccurred())
			Expect(e.current()).To(Equal(set("dc0")))
		}
	})

	// Guards against a coordinator without its disk that starts tasks at once, or never.
	It("hold starts without a log on the disk, for half the bound", func() {
		Expect(e.diskOpened(&consensus.PersistentState{})).To(Succeed())
		e.readDone(time.Hour, errors.New("no quorum"))
		_, ended := e.expire(time.Hour + bound/2 - 1)
		Expect(ended).To(BeFalse())
		Expect(e.current()).To(Equal(unknown))
		unconfirmed, ended := e.expire(time.Hour + bound/2)
		Expect(unconfirmed && ended).To(BeTrue())
		Expect(e.current()).To(Equal(set()))
		unconfirmed, ended = e.expire(time.Hour + bound)
		Expect(unconfirmed || ended).To(BeFalse(), "reported once")
	})

	// Guards against a hold that outlasts the first read.
	It("end a hold with a read", func() {
		e.readDone(time.Hour, nil)
		Expect(e.current()).To(Equal(set()))
	})

	// Guards against starts by a coordinator that has missed an order during a pause.
	It("hold starts after a pause of half the bound, until a later read", func() {
		e.readDone(time.Hour, nil)
		e.paused(2*time.Hour, bound/2-1)
		Expect(e.current()).To(Equal(set()))
		e.paused(2*time.Hour, bound/2)
		Expect(e.current()).To(Equal(unknown))
		e.readDone(2*time.Hour-1, nil) // began before the pause
		Expect(e.current()).To(Equal(unknown))
		e.readDone(2*time.Hour, nil)
		Expect(e.current()).To(Equal(set()))
	})

	// Guards against an end of service where no side has a majority.
	It("are kept while the log cannot be read", func() {
		_, err := s.Apply(entry(1, order("dc0", true, 0)))
		Expect(err).NotTo(HaveOccurred())
		e.readDone(time.Hour, nil)
		e.readDone(time.Hour, errors.New("no quorum"))
		Expect(e.confirmed).To(BeFalse())
		Expect(e.current()).To(Equal(set("dc0")))
	})

	// Guards against an acknowledged order that the core does not follow because the
	// coordinator's own copy of the log lags.
	It("include an order that the leader has applied", func() {
		e.readDone(time.Hour, nil)
		e.adopt("dc0", evacuation.State{Evacuated: true, Revision: 3})
		Expect(e.current()).To(Equal(set("dc0")))
		Expect(s.Restore(snapshot(order("dc0", true, 0), order("dc0", false, 1), order("dc0", true, 2), order("dc0", false, 3)).Data)).To(Succeed())
		Expect(e.current()).To(Equal(set()), "the log has a later one")
	})

	// Guards against a coordinator in touch with the leader that starts tasks in an
	// evacuated data centre, or holds all starts, because its own log does not advance.
	It("follow the leader while the own log does not advance", func() {
		Expect(e.diskOpened(&consensus.PersistentState{Entries: []*consensus.Entry{
			entry(1, order("dc2", true, 0)), // was not committed
		}})).To(Succeed())
		e.paused(2*time.Hour, bound)
		answer := func(states ...*wire.EvacuationState) *wire.EvacuationStates {
			return &wire.EvacuationStates{States: states}
		}
		e.leaderAnswered(2*time.Hour-1, answer(&wire.EvacuationState{DataCentre: "dc0", Evacuated: true, Revision: 1}))
		e.leaderAnswered(2*time.Hour, nil) // of an earlier version
		Expect(e.current()).To(Equal(placement.EvacuationsChanged{DataCentres: []string{"dc0", "dc2"}, Unknown: true}))

		e.leaderAnswered(2*time.Hour, answer(&wire.EvacuationState{DataCentre: "dc0", Evacuated: true, Revision: 3}))
		e.readDone(2*time.Hour, errors.New("wait for applied index"))
		Expect(e.current()).To(Equal(set("dc0")), "the answer ends the hold")
		Expect(e.confirmed).To(BeTrue())
		e.readDone(2*time.Hour+1, errors.New("no answer"))
		Expect(e.confirmed).To(BeFalse())
		e.leaderAnswered(2*time.Hour+2, answer(&wire.EvacuationState{DataCentre: "dc0", Revision: 4}))
		Expect(e.current()).To(Equal(set()))
		Expect(e.confirmed).To(BeTrue())
	})

	// Guards against an answer of the leader without its evacuations.
	It("are in the leader's answer, also if there are none", func() {
		Expect(s.leaderEvacuations()).NotTo(BeNil())
		_, err := s.Apply(entry(1, order("dc0", true, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.leaderEvacuations().GetStates()).To(ConsistOf(HaveField("DataCentre", "dc0")))
	})

	// Guards against a change that does not reach the core.
	It("are marked as changed by an order and a snapshot", func() {
		Expect(s.evacuationsChanged.Swap(false)).To(BeTrue(), "the hold at the start")
		_, err := s.Apply(entry(1, order("dc0", true, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.evacuationsChanged.Swap(false)).To(BeTrue())
		Expect(s.Restore(snapshot().Data)).To(Succeed())
		Expect(s.evacuationsChanged.Swap(false)).To(BeTrue())
	})

	// Guards against a coordinator without the settings that withholds starts.
	It("are off without a bound", func() {
		e = newEvacuations(EvacuationOptions{}, s, time.Hour)
		e.paused(2*time.Hour, time.Minute)
		Expect(e.current()).To(Equal(set()))
		unconfirmed, ended := e.expire(3 * time.Hour)
		Expect(unconfirmed || ended).To(BeFalse())
	})

	// Guards against an order that is proposed after its caller has given it up, because
	// the coordinator was paused in between.
	It("take no order whose caller has left", func() {
		ctx, cancel := context.WithCancel(context.Background())
		Expect(checkOrderAge(ctx, time.Hour, time.Hour+orderLifetime-1)).To(Succeed())
		Expect(checkOrderAge(ctx, time.Hour, time.Hour+orderLifetime)).NotTo(Succeed())
		cancel()
		Expect(checkOrderAge(ctx, time.Hour, time.Hour)).NotTo(Succeed())
	})
})
