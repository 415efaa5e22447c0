package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// nextState returns a state one version later, with a random change.
func nextState(rng *rand.Rand, before State) State {
	after := State{Config: before.Config, Views: map[string]lease.View{}, Revision: before.Revision}
	for centre, view := range before.Views {
		after.Views[centre] = view
	}
	if rng.IntN(4) == 0 {
		centre := fmt.Sprintf("dc-%d", rng.IntN(3))
		after.Views[centre] = lease.View{
			Epoch:   before.Views[centre].Epoch + 1,
			Members: []lease.Member{{Name: fmt.Sprintf("i-%d", rng.IntN(9)), Joined: 1}},
		}
		return after
	}
	after.Config = structs.SystemConfig{Version: before.Config.Version + 1, Classes: before.Config.Classes}
	after.Config.Tenants = map[string]structs.Tenant{}
	for name, tenant := range before.Config.Tenants {
		after.Config.Tenants[name] = tenant
	}
	name := fmt.Sprintf("t-%d", rng.IntN(20))
	if rng.IntN(3) == 0 {
		delete(after.Config.Tenants, name)
	} else {
		after.Config.Tenants[name] = structs.Tenant{Name: name, Weight: float64(1 + rng.IntN(5))}
	}
	after.Revision = operatorapi.Revision{Version: after.Config.Version, Operator: "o"}
	return after
}

var _ = Describe("state cache", func() {
	// Guards against a configuration that diverges from that of the peers after
	// deltas, gaps, repeated and late replies.
	It("converges with a peer through deltas and never returns to an older state", func() {
		seed := uint64(GinkgoRandomSeed())
		By(fmt.Sprintf("seed %d", seed))
		rng := rand.New(rand.NewPCG(seed, 1))
		var source, follower stateCache
		state := State{Config: structs.SystemConfig{Classes: map[string]structs.Class{"c": {Name: "c"}}}}
		deltas := 0
		var earlierReplies []*wire.StateReply
		for range 2000 {
			state = nextState(rng, state)
			Expect(source.update(state)).To(BeTrue())
			if rng.IntN(3) > 0 && state.Version()%200 > 90 {
				continue // skips some versions, sometimes more than are cached
			}
			reply, err := source.reply(follower.request())
			Expect(err).NotTo(HaveOccurred())
			earlierReplies = append(earlierReplies, reply)
			if reply.GetBaseVersion() > 0 {
				deltas++
			}
			merged, err := follower.withReply(reply)
			Expect(err).NotTo(HaveOccurred())
			Expect(follower.update(merged)).To(BeTrue())
			current := follower.current()
			Expect(current.Version()).To(Equal(state.Version()))
			Expect(current.Config.Tenants).To(Equal(state.Config.Tenants))
			Expect(current.Config.Version).To(Equal(state.Config.Version))
			Expect(current.Views).To(Equal(state.Views))

			old, err := follower.withReply(earlierReplies[rng.IntN(len(earlierReplies))])
			if err == nil {
				Expect(follower.update(old)).To(BeFalse())
			}
		}
		Expect(deltas).To(BeNumerically(">", 500))
	})
})
