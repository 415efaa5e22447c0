package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/membership"
)

var _ = Describe("NextWake", func() {
	// Guards against a busy loop: a NextWake that is not after the Tick wakes the
	// event loop again at once, and an idle process uses half a core.
	It("is later than the Tick just processed, with answered and unanswered probes", func() {
		now := time.Unix(1_700_000_000, 0)
		core := membership.New(membership.Options{Instance: "a", Incarnation: 1})
		core.Step(now, membership.PeerFound{Peer: "b", Incarnation: 1})
		for i := range 200 {
			wake, ok := core.NextWake()
			Expect(ok).To(BeTrue())
			now = wake
			core.Step(now, membership.Tick{})
			for _, effect := range core.Ready() {
				send, isSend := effect.(membership.Send)
				// Probes sent in every third step stay unanswered.
				if !isSend || send.Message.Kind != membership.Ping || i%3 == 0 {
					continue
				}
				core.Step(now, membership.MessageReceived{Message: membership.Message{
					Kind: membership.Ack, From: "b", Incarnation: 1, Sequence: send.Message.Sequence,
				}})
			}
			next, ok := core.NextWake()
			Expect(ok).To(BeTrue())
			Expect(next.After(now)).To(BeTrue(), "step %d: wake %s after a Tick at %s", i, next, now)
		}
	})
})
