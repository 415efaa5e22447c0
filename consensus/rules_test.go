package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus"
)

// testCore is a core whose peers are simulated by the test.
type testCore struct {
	core     *consensus.Core
	now      time.Time
	effects  []consensus.Effect
	autoSync bool // report every Persist as synced immediately
}

const timeout = 100 * time.Millisecond

func newTestCore(term uint64, entries ...*consensus.Entry) *testCore {
	for i, entry := range entries {
		entry.Index = uint64(i + 1)
	}
	s := &testCore{now: time.Unix(1000, 0), autoSync: true}
	s.core = consensus.New(
		consensus.Options{ID: "a", ElectionTimeout: timeout, HeartbeatInterval: timeout / 5},
		consensus.PersistentState{Hard: &consensus.HardState{Term: term, Commit: 1}, Entries: entries},
	)
	s.step(consensus.Tick{})
	return s
}

func members(voters, learners []string) *consensus.Entry {
	return &consensus.Entry{
		Term: 1, Kind: consensus.EntryKind_ENTRY_KIND_MEMBERS,
		Members: &consensus.Members{Voters: voters, Learners: learners},
	}
}

var abc = []string{"a", "b", "c"}

func (s *testCore) step(event consensus.Event) {
	s.effects = nil
	s.core.Step(s.now, event)
	s.collect()
}

func (s *testCore) collect() {
	for _, effect := range s.core.Ready() {
		s.effects = append(s.effects, effect)
		if persist, ok := effect.(consensus.Persist); ok && s.autoSync {
			s.core.Step(s.now, consensus.Synced{Sequence: persist.Sequence})
			s.collect()
		}
	}
}

func (s *testCore) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(consensus.Tick{})
}

func (s *testCore) receive(from string, message *consensus.Message) {
	message.From, message.To = from, "a"
	s.step(consensus.Receive{Message: message})
}

func (s *testCore) sent() []*consensus.Message {
	var messages []*consensus.Message
	for _, effect := range s.effects {
		if send, ok := effect.(consensus.SendMessage); ok {
			messages = append(messages, send.Message)
		}
	}
	return messages
}

func (s *testCore) refusal() error {
	for _, effect := range s.effects {
		if refused, ok := effect.(consensus.Refused); ok {
			return refused.Err
		}
	}
	return nil
}

func voteReply(term uint64, preVote, granted bool) *consensus.Message {
	return &consensus.Message{Term: term, Body: &consensus.Message_VoteReply{
		VoteReply: &consensus.VoteReply{PreVote: preVote, Granted: granted},
	}}
}

func voteRequest(term, lastIndex, lastTerm uint64) *consensus.Message {
	return &consensus.Message{Term: term, Body: &consensus.Message_VoteRequest{
		VoteRequest: &consensus.VoteRequest{LastIndex: lastIndex, LastTerm: lastTerm},
	}}
}

func appendReply(term, match uint64) *consensus.Message {
	return &consensus.Message{Term: term, Body: &consensus.Message_AppendReply{
		AppendReply: &consensus.AppendReply{Match: match},
	}}
}

func heartbeat(term uint64) *consensus.Message {
	return &consensus.Message{Term: term, Body: &consensus.Message_AppendRequest{
		AppendRequest: &consensus.AppendRequest{PrevIndex: 1, PrevTerm: 1},
	}}
}

// lead makes the core leader of the term after the given one.
func (s *testCore) lead(term uint64) {
	s.advance(3 * timeout)
	s.receive("b", voteReply(term+1, true, true))
	s.receive("b", voteReply(term+1, false, true))
	Expect(s.core.Status().Role).To(Equal(consensus.Leader))
}

func (s *testCore) changeMembers(kind consensus.ChangeKind, id string) error {
	s.step(consensus.ProposeMembers{Ref: 1, Change: consensus.MemberChange{Kind: kind, Member: id}})
	return s.refusal()
}

func granted(messages []*consensus.Message) bool {
	return len(messages) == 1 && messages[0].GetVoteReply().GetGranted()
}

var _ = Describe("A core", func() {
	// Guards against an acknowledged entry that a later leader overwrites (Raft,
	// section 5.4.2).
	It("commits by count only entries of its own term", func() {
		s := newTestCore(3, members(abc, nil), &consensus.Entry{Term: 2})
		s.lead(3)
		s.receive("b", appendReply(4, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "an entry of an earlier term was committed by count")
		s.receive("b", appendReply(4, 3))
		Expect(s.core.Status().Commit).To(Equal(uint64(3)))
	})

	// Guards against a commit without a majority of the voters.
	It("does not count a learner", func() {
		s := newTestCore(1, members(abc, []string{"d", "e"}))
		s.lead(1)
		s.receive("d", appendReply(2, 2))
		s.receive("e", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "learners committed an entry")
		s.receive("c", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(2)))
	})

	// Guards against two leaders in one term.
	It("does not become leader by learners' votes", func() {
		s := newTestCore(1, members(abc, []string{"d", "e"}))
		s.advance(3 * timeout)
		s.receive("d", voteReply(2, true, true))
		s.receive("e", voteReply(2, true, true))
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate))
	})

	// Guards against an acknowledged entry that is lost when the leader crashes.
	It("does not count its own entries before they are synced", func() {
		s := newTestCore(1, members(abc, nil))
		s.advance(3 * timeout)
		s.receive("b", voteReply(2, true, true))
		s.autoSync = false
		s.receive("b", voteReply(2, false, true))
		s.receive("b", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "an entry was committed with one durable copy")
		s.step(consensus.Synced{Sequence: 100})
		Expect(s.core.Status().Commit).To(Equal(uint64(2)))
	})

	// Guards against two leaders in one term.
	It("grants one vote per term, and not before it is durable", func() {
		s := newTestCore(1, members(abc, nil))
		s.autoSync = false
		s.receive("b", voteRequest(5, 1, 1))
		Expect(s.sent()).To(BeEmpty(), "the vote was sent before it was durable")
		s.step(consensus.Synced{Sequence: 1})
		Expect(granted(s.sent())).To(BeTrue())
		s.receive("c", voteRequest(5, 1, 1))
		Expect(granted(s.sent())).To(BeFalse(), "a second vote was granted in the term")
	})

	// Guards against a committed entry that is lost when a follower crashes.
	It("acknowledges entries only after the sync", func() {
		s := newTestCore(1, members(abc, nil))
		s.autoSync = false
		request := heartbeat(1)
		request.GetAppendRequest().Entries = []*consensus.Entry{{Index: 2, Term: 1}}
		s.receive("b", request)
		Expect(s.sent()).To(BeEmpty(), "entries were acknowledged before the sync")
		s.step(consensus.Synced{Sequence: 1})
		Expect(s.sent()[0].GetAppendReply().GetMatch()).To(Equal(uint64(2)))
	})

	// Guards against an instance that no committed member list has and that waits for
	// good for the leader that has added it: it asks to be added only without a leader.
	DescribeTable("forgets a silent leader although it may not campaign", func(entry *consensus.Entry, message *consensus.Message) {
		s := newTestCore(1, entry)
		s.receive("b", message)
		Expect(s.core.Status().Leader).To(Equal("b"))
		s.advance(timeout - time.Millisecond)
		Expect(s.core.Status().Leader).To(Equal("b"), "the leader was forgotten within the election timeout")
		Expect(s.core.NextWake()).NotTo(BeZero(), "no timer checks for the leader")
		s.now = s.core.NextWake()
		s.step(consensus.Tick{})
		Expect(s.core.Status().Leader).To(BeEmpty())
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
		Expect(s.core.Status().Term).To(Equal(uint64(2)))
		Expect(s.sent()).To(BeEmpty(), "an instance that is no voter campaigned")
	},
		Entry("a learner", members([]string{"b", "c"}, []string{"a"}), heartbeat(2)),
		Entry("a voter whose removal is committed", members([]string{"b", "c"}, nil), heartbeat(2)),
		Entry("an instance that receives a snapshot", members([]string{"b", "c"}, nil), &consensus.Message{
			Term: 2, Body: &consensus.Message_SnapshotPiece{SnapshotPiece: &consensus.SnapshotPiece{
				Snapshot: &consensus.Snapshot{Index: 9, Term: 2}, Total: 20, Piece: make([]byte, 10),
			}},
		}),
	)

	// Guards against an instance with a broken link that deposes a working leader.
	It("ignores vote requests while it has a leader, except for a leadership transfer", func() {
		s := newTestCore(1, members(abc, nil))
		s.receive("b", heartbeat(1))
		s.receive("c", voteRequest(9, 1, 1))
		Expect(s.sent()).To(BeEmpty())
		Expect(s.core.Status().Term).To(Equal(uint64(1)), "a candidate raised the term of a group with a leader")
		request := voteRequest(2, 1, 1)
		request.GetVoteRequest().Transfer = true
		s.receive("c", request)
		Expect(granted(s.sent())).To(BeTrue())
	})

	// Guards against a stale read from a leader that was replaced.
	It("completes a read only after a majority has acknowledged a later round", func() {
		s := newTestCore(1, members(abc, nil))
		s.lead(1)
		s.receive("b", appendReply(2, 2))
		s.step(consensus.ReadBarrier{Ref: 9})
		round := s.sent()[0].GetAppendRequest().GetRound()
		s.receive("b", appendReply(2, 2))
		Expect(s.effects).NotTo(ContainElement(BeAssignableToTypeOf(consensus.ReadReady{})), "another leader may exist")
		reply := appendReply(2, 2)
		reply.GetAppendReply().Round = round
		s.receive("b", reply)
		Expect(s.effects).To(ContainElement(consensus.ReadReady{Ref: 9, Index: 2}))
	})

	// Guards against entries of an earlier leader that are applied although they
	// were replaced.
	It("commits no further than its log is known to match the leader's", func() {
		s := newTestCore(1, members(abc, nil), &consensus.Entry{Term: 1}, &consensus.Entry{Term: 1})
		request := heartbeat(5)
		request.GetAppendRequest().Commit = 3
		s.receive("b", request)
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "entries of another leader were committed")
	})

	// Guards against a log that grows without bound in bytes.
	It("requests a snapshot after a few large entries, and counts only those after it", func() {
		s := newTestCore(1, members([]string{"a"}, nil))
		s.advance(3 * timeout)
		for range 4 {
			s.step(consensus.Propose{Data: make([]byte, 1<<20)})
		}
		Expect(s.effects).To(ContainElement(consensus.TakeSnapshot{}))
		s.step(consensus.SnapshotTaken{Index: 6, Data: []byte("state")})
		s.step(consensus.Propose{Data: make([]byte, 1<<20)})
		Expect(s.effects).NotTo(ContainElement(consensus.TakeSnapshot{}))
	})

	// Guards against a returning instance whose high term deposes the leader.
	It("keeps its term while it is isolated", func() {
		s := newTestCore(1, members(abc, nil))
		for range 100 {
			s.advance(3 * timeout)
		}
		Expect(s.core.Status().Term).To(Equal(uint64(1)))
	})

	// Guards against a leader that is cut off and still accepts proposals.
	It("steps down without contact to a quorum", func() {
		s := newTestCore(1, members(abc, nil))
		s.lead(1)
		s.advance(timeout / 2)
		s.receive("b", appendReply(2, 2))
		s.advance(timeout / 2)
		Expect(s.core.Status().Role).To(Equal(consensus.Leader))
		s.advance(timeout)
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
	})

	// Guards against two disjoint majorities.
	It("makes one membership change at a time, and none before it has committed an entry of its term", func() {
		s := newTestCore(1, members(abc, nil))
		s.lead(1)
		Expect(s.changeMembers(consensus.AddLearner, "d")).To(MatchError(consensus.ErrNoCommitInTerm))
		s.receive("b", appendReply(2, 2))
		Expect(s.changeMembers(consensus.AddLearner, "d")).To(Succeed())
		Expect(s.changeMembers(consensus.RemoveMember, "c")).To(MatchError(consensus.ErrChangePending))
		s.receive("b", appendReply(2, 3))
		Expect(s.changeMembers(consensus.PromoteLearner, "d")).To(MatchError(consensus.ErrNotCaughtUp))
		s.receive("d", appendReply(2, 3))
		Expect(s.changeMembers(consensus.PromoteLearner, "d")).To(Succeed())
	})

	// Guards against a group without a leader, because no other voter can win.
	It("campaigns while its own removal is not committed", func() {
		s := newTestCore(1, members(abc, nil), members([]string{"b", "c"}, nil))
		s.advance(3 * timeout)
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate),
			"the others need the entries that only this instance has")
		s.receive("b", voteReply(2, true, true))
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate), "it counted its own vote")
	})

	// Guards against an instance that acknowledges state that its disk has lost.
	It("ignores messages to an earlier incarnation of its instance", func() {
		s := newTestCore(1, members(abc, nil))
		request := heartbeat(7)
		request.From, request.To = "b", "a@old"
		s.step(consensus.Receive{Message: request})
		Expect(s.core.Status().Term).To(Equal(uint64(1)))
	})

	// Guards against a leader that never applies anything.
	It("steps down when the disk hangs", func() {
		s := newTestCore(1, members(abc, nil))
		s.lead(1)
		s.autoSync = false
		s.step(consensus.Propose{Ref: 1})
		for range 30 {
			s.advance(timeout / 10)
			s.receive("b", appendReply(2, 3))
		}
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
		s.step(consensus.Synced{Sequence: 100})
		Expect(s.core.NextWake()).NotTo(BeZero())
	})

	// Guards against a leader that cannot write and prevents the election of another.
	It("steps down and grants no vote while the disk is stalled", func() {
		s := newTestCore(1, members(abc, nil))
		s.lead(1)
		s.step(consensus.DiskStalled{})
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
		s.receive("b", voteRequest(9, 9, 9))
		Expect(s.sent()).To(BeEmpty())
		Expect(s.core.NextWake()).To(BeZero(), "an instance that cannot write would campaign")
	})
})
