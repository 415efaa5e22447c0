package consensus_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus"
)

const (
	pieceBytes    = 1000
	snapshotBytes = 10_500
)

// snapshotPair is a leader with a large snapshot and a learner without a log.
type snapshotPair struct {
	now     time.Time
	cores   map[string]*consensus.Core
	queue   []*consensus.Message
	drop    func(*snapshotPair, *consensus.Message) bool
	pieces  int
	largest int
	install []*consensus.Snapshot // at the learner
}

// newSnapshotPair returns a pair that has run for some election timeouts. Messages for
// which drop returns true are lost.
func newSnapshotPair(timeouts int, drop func(*snapshotPair, *consensus.Message) bool) *snapshotPair {
	s := &snapshotPair{now: time.Unix(1000, 0), cores: map[string]*consensus.Core{}, drop: drop}
	s.start("a", consensus.PersistentState{
		Hard: &consensus.HardState{Term: 1, Commit: 50},
		Snapshot: &consensus.Snapshot{
			Index: 50, Term: 1, Members: &consensus.Members{Voters: []string{"a"}, Learners: []string{"b"}}, Data: largeState(),
		},
	})
	s.start("b", consensus.PersistentState{})
	s.run(time.Duration(timeouts) * timeout)
	return s
}

func noLoss(*snapshotPair, *consensus.Message) bool { return false }

func (s *snapshotPair) start(id string, persisted consensus.PersistentState) {
	s.cores[id] = consensus.New(consensus.Options{
		ID: id, ElectionTimeout: timeout, HeartbeatInterval: timeout / 5, MaxBatchBytes: pieceBytes, SnapshotBytes: 4000, TrailingEntries: 1,
	}, persisted)
	s.step(id, consensus.Tick{})
}

func (s *snapshotPair) step(id string, event consensus.Event) {
	s.cores[id].Step(s.now, event)
	for again := true; again; {
		again = false
		for _, effect := range s.cores[id].Ready() {
			switch e := effect.(type) {
			case consensus.SendMessage:
				s.send(e.Message)
			case consensus.Persist:
				s.cores[id].Step(s.now, consensus.Synced{Sequence: e.Sequence})
				again = true
			case consensus.InstallSnapshot:
				if id == "b" {
					s.install = append(s.install, e.Snapshot)
				}
			}
		}
	}
}

func (s *snapshotPair) send(m *consensus.Message) {
	if s.drop(s, m) {
		return
	}
	data, err := consensus.Encode(m)
	Expect(err).NotTo(HaveOccurred())
	s.largest = max(s.largest, len(data))
	decoded, err := consensus.Decode(data)
	Expect(err).NotTo(HaveOccurred())
	if decoded.GetSnapshotPiece() != nil {
		s.pieces++
	}
	s.queue = append(s.queue, decoded)
}

// run delivers messages, 1 ms after they were sent.
func (s *snapshotPair) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(time.Millisecond)
		queue := s.queue
		s.queue = nil
		for _, m := range queue {
			s.step(m.To, consensus.Receive{Message: m})
		}
		s.step("a", consensus.Tick{})
		s.step("b", consensus.Tick{})
	}
}

// largeState returns data whose parts differ.
func largeState() []byte {
	data := make([]byte, snapshotBytes)
	for i := range data {
		data[i] = byte(i * i >> 7)
	}
	return data
}

var _ = Describe("a snapshot that is larger than a batch", func() {
	var s *snapshotPair
	installed := func() {
		ExpectWithOffset(1, s.install).To(HaveLen(1))
		ExpectWithOffset(1, s.install[0].Index).To(Equal(uint64(50)))
		ExpectWithOffset(1, bytes.Equal(s.install[0].Data, largeState())).To(BeTrue())
	}

	// Guards against a member that never catches up because the snapshot does not fit into
	// a frame, and against heartbeats that wait for a large message on the same link.
	It("is sent in pieces, one at a time", func() {
		s = newSnapshotPair(4, noLoss)
		installed()
		Expect(s.pieces).To(Equal(11))
		Expect(s.largest).To(BeNumerically("<", pieceBytes+200))
	})

	// Guards against a transfer that begins anew, or stops, with each lost message.
	It("continues after lost and repeated messages", func() {
		sent, lost := 0, 0
		s = newSnapshotPair(20, func(s *snapshotPair, m *consensus.Message) bool {
			if m.GetSnapshotPiece() == nil && m.GetSnapshotPieceReply() == nil {
				return false
			}
			if sent++; sent%4 == 0 {
				lost++
				return true
			}
			if sent%5 == 0 {
				s.queue = append(s.queue, m)
			}
			return false
		})
		installed()
		Expect(lost).To(BeNumerically(">", 2))
		Expect(s.pieces).To(BeNumerically("<", 25))
	})

	// Guards against pieces that are sent without end to a member of an earlier version,
	// which ignores them and takes whole snapshots.
	It("is sent as a whole to a member that acknowledges no pieces", func() {
		s = newSnapshotPair(10, func(_ *snapshotPair, m *consensus.Message) bool { return m.GetSnapshotPiece() != nil })
		installed()
	})

	// Guards against a state that is put together from pieces of two snapshots.
	It("is discarded if its checksum is wrong, and sent again", func() {
		damaged := false
		s = newSnapshotPair(20, func(_ *snapshotPair, m *consensus.Message) bool {
			if piece := m.GetSnapshotPiece(); piece.GetOffset() == 3*pieceBytes && !damaged {
				damaged = true
				piece.Piece = bytes.Repeat([]byte{1}, len(piece.Piece))
			}
			return false
		})
		Expect(damaged).To(BeTrue())
		installed()
	})

	// Guards against a member that never catches up because the leader takes the next
	// snapshot, and drops the entries before it, before the earlier one has arrived.
	It("is kept while it is on its way, with the entries after it", func() {
		s = newSnapshotPair(3, func(_ *snapshotPair, m *consensus.Message) bool { return m.GetSnapshotPieceReply() != nil })
		for i := range 8 {
			s.step("a", consensus.Propose{Ref: consensus.Ref(i), Data: make([]byte, 500)})
		}
		s.step("a", consensus.SnapshotTaken{Index: 58, Data: make([]byte, snapshotBytes)})
		s.drop = noLoss
		s.run(10 * timeout)
		installed()
		Expect(s.cores["b"].Status().Commit).To(Equal(s.cores["a"].Status().Commit))
	})
})
