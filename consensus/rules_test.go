package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus"
)

// single is one core whose peers are played by the test.
type single struct {
	core    *consensus.Core
	now     time.Time
	effects []consensus.Effect
	synced  bool // report every Persist as synced at once
}

const timeout = 100 * time.Millisecond

func newSingle(term uint64, entries ...*consensus.Entry) *single {
	for i, entry := range entries {
		entry.Index = uint64(i + 1)
	}
	s := &single{now: time.Unix(1000, 0), synced: true}
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

func (s *single) step(event consensus.Event) {
	s.effects = nil
	s.core.Step(s.now, event)
	s.collect()
}

func (s *single) collect() {
	for _, effect := range s.core.Ready() {
		s.effects = append(s.effects, effect)
		if persist, ok := effect.(consensus.Persist); ok && s.synced {
			s.core.Step(s.now, consensus.Synced{Sequence: persist.Sequence})
			s.collect()
		}
	}
}

func (s *single) wait(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(consensus.Tick{})
}

func (s *single) get(from string, message *consensus.Message) {
	message.From, message.To = from, "a"
	s.step(consensus.Receive{Message: message})
}

func (s *single) sent() []*consensus.Message {
	var messages []*consensus.Message
	for _, effect := range s.effects {
		if send, ok := effect.(consensus.SendMessage); ok {
			messages = append(messages, send.Message)
		}
	}
	return messages
}

func (s *single) refusal() error {
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
func (s *single) lead(term uint64) {
	s.wait(3 * timeout)
	s.get("b", voteReply(term+1, true, true))
	s.get("b", voteReply(term+1, false, true))
	Expect(s.core.Status().Role).To(Equal(consensus.Leader))
}

func (s *single) change(kind consensus.ChangeKind, id string) error {
	s.step(consensus.ProposeMembers{Ref: 1, Change: consensus.MemberChange{Kind: kind, Member: id}})
	return s.refusal()
}

func granted(messages []*consensus.Message) bool {
	return len(messages) == 1 && messages[0].GetVoteReply().GetGranted()
}

var _ = Describe("A core", func() {
	It("commits by count only entries of its own term", func() {
		s := newSingle(3, members(abc, nil), &consensus.Entry{Term: 2})
		s.lead(3)
		s.get("b", appendReply(4, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "an entry of an earlier term was committed by count")
		s.get("b", appendReply(4, 3))
		Expect(s.core.Status().Commit).To(Equal(uint64(3)))
	})

	It("does not count a learner", func() {
		s := newSingle(1, members(abc, []string{"d", "e"}))
		s.lead(1)
		s.get("d", appendReply(2, 2))
		s.get("e", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "learners committed an entry")
		s.get("c", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(2)))
	})

	It("does not become leader by learners' votes", func() {
		s := newSingle(1, members(abc, []string{"d", "e"}))
		s.wait(3 * timeout)
		s.get("d", voteReply(2, true, true))
		s.get("e", voteReply(2, true, true))
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate))
	})

	It("does not count its own entries before they are synced", func() {
		s := newSingle(1, members(abc, nil))
		s.wait(3 * timeout)
		s.get("b", voteReply(2, true, true))
		s.synced = false
		s.get("b", voteReply(2, false, true))
		s.get("b", appendReply(2, 2))
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "an entry was committed with one durable copy")
		s.step(consensus.Synced{Sequence: 100})
		Expect(s.core.Status().Commit).To(Equal(uint64(2)))
	})

	It("grants one vote per term, and not before it is durable", func() {
		s := newSingle(1, members(abc, nil))
		s.synced = false
		s.get("b", voteRequest(5, 1, 1))
		Expect(s.sent()).To(BeEmpty(), "the vote left before it was durable")
		s.step(consensus.Synced{Sequence: 1})
		Expect(granted(s.sent())).To(BeTrue())
		s.get("c", voteRequest(5, 1, 1))
		Expect(granted(s.sent())).To(BeFalse(), "a second vote was granted in the term")
	})

	It("acknowledges entries only after the sync", func() {
		s := newSingle(1, members(abc, nil))
		s.synced = false
		request := heartbeat(1)
		request.GetAppendRequest().Entries = []*consensus.Entry{{Index: 2, Term: 1}}
		s.get("b", request)
		Expect(s.sent()).To(BeEmpty(), "entries were acknowledged before the sync")
		s.step(consensus.Synced{Sequence: 1})
		Expect(s.sent()[0].GetAppendReply().GetMatch()).To(Equal(uint64(2)))
	})

	It("refuses votes while it hears from a leader, unless the leader hands over", func() {
		s := newSingle(1, members(abc, nil))
		s.get("b", heartbeat(1))
		s.get("c", voteRequest(9, 1, 1))
		Expect(s.sent()).To(BeEmpty())
		Expect(s.core.Status().Term).To(Equal(uint64(1)), "a candidate disturbed a group with a leader")
		request := voteRequest(2, 1, 1)
		request.GetVoteRequest().Transfer = true
		s.get("c", request)
		Expect(granted(s.sent())).To(BeTrue())
	})

	It("answers a read only after a majority has answered a later round", func() {
		s := newSingle(1, members(abc, nil))
		s.lead(1)
		s.get("b", appendReply(2, 2))
		s.step(consensus.ReadBarrier{Ref: 9})
		round := s.sent()[0].GetAppendRequest().GetRound()
		s.get("b", appendReply(2, 2))
		Expect(s.effects).NotTo(ContainElement(BeAssignableToTypeOf(consensus.ReadReady{})), "another leader may exist")
		reply := appendReply(2, 2)
		reply.GetAppendReply().Round = round
		s.get("b", reply)
		Expect(s.effects).To(ContainElement(consensus.ReadReady{Ref: 9, Index: 2}))
	})

	It("commits no further than its log is known to match the leader's", func() {
		s := newSingle(1, members(abc, nil), &consensus.Entry{Term: 1}, &consensus.Entry{Term: 1})
		request := heartbeat(5)
		request.GetAppendRequest().Commit = 3
		s.get("b", request)
		Expect(s.core.Status().Commit).To(Equal(uint64(1)), "entries of another leader were committed")
	})

	It("asks for a snapshot when large entries pile up, and forgets them", func() {
		s := newSingle(1, members([]string{"a"}, nil))
		s.wait(3 * timeout)
		for range 4 {
			s.step(consensus.Propose{Data: make([]byte, 1<<20)})
		}
		Expect(s.effects).To(ContainElement(consensus.TakeSnapshot{}))
		s.step(consensus.SnapshotTaken{Index: 6, Data: []byte("state")})
		s.step(consensus.Propose{Data: make([]byte, 1<<20)})
		Expect(s.effects).NotTo(ContainElement(consensus.TakeSnapshot{}))
	})

	It("keeps its term while it is isolated", func() {
		s := newSingle(1, members(abc, nil))
		for range 100 {
			s.wait(3 * timeout)
		}
		Expect(s.core.Status().Term).To(Equal(uint64(1)))
	})

	It("steps down when it does not hear from a quorum", func() {
		s := newSingle(1, members(abc, nil))
		s.lead(1)
		s.wait(timeout / 2)
		s.get("b", appendReply(2, 2))
		s.wait(timeout / 2)
		Expect(s.core.Status().Role).To(Equal(consensus.Leader))
		s.wait(timeout)
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
	})

	It("makes one membership change at a time, and none before its term is established", func() {
		s := newSingle(1, members(abc, nil))
		s.lead(1)
		Expect(s.change(consensus.AddLearner, "d")).To(MatchError(consensus.ErrNoCommitInTerm))
		s.get("b", appendReply(2, 2))
		Expect(s.change(consensus.AddLearner, "d")).To(Succeed())
		Expect(s.change(consensus.RemoveMember, "c")).To(MatchError(consensus.ErrChangePending))
		s.get("b", appendReply(2, 3))
		Expect(s.change(consensus.PromoteLearner, "d")).To(MatchError(consensus.ErrNotCaughtUp))
		s.get("d", appendReply(2, 3))
		Expect(s.change(consensus.PromoteLearner, "d")).To(Succeed())
	})

	It("campaigns while its own removal is not committed", func() {
		s := newSingle(1, members(abc, nil), members([]string{"b", "c"}, nil))
		s.wait(3 * timeout)
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate),
			"the others need the entries that only this instance has")
		s.get("b", voteReply(2, true, true))
		Expect(s.core.Status().Role).To(Equal(consensus.PreCandidate), "it counted its own vote")
	})

	It("ignores messages for an earlier incarnation of its instance", func() {
		s := newSingle(1, members(abc, nil))
		request := heartbeat(7)
		request.From, request.To = "b", "a@old"
		s.step(consensus.Receive{Message: request})
		Expect(s.core.Status().Term).To(Equal(uint64(1)))
	})

	It("gives up leadership when the disk hangs", func() {
		s := newSingle(1, members(abc, nil))
		s.lead(1)
		s.synced = false
		s.step(consensus.Propose{Ref: 1})
		for range 30 {
			s.wait(timeout / 10)
			s.get("b", appendReply(2, 3))
		}
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
		s.step(consensus.Synced{Sequence: 100})
		Expect(s.core.NextWake()).NotTo(BeZero())
	})

	It("gives up leadership and grants no vote while the disk is stalled", func() {
		s := newSingle(1, members(abc, nil))
		s.lead(1)
		s.step(consensus.DiskStalled{})
		Expect(s.core.Status().Role).To(Equal(consensus.Follower))
		s.get("b", voteRequest(9, 9, 9))
		Expect(s.sent()).To(BeEmpty())
		Expect(s.core.NextWake()).To(BeZero(), "an instance that cannot write would campaign")
	})
})
