package evacuation_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/wire"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

func order(dataCentre string, evacuate bool, revision uint64) *wire.EvacuationOrder {
	return &wire.EvacuationOrder{DataCentre: dataCentre, Evacuate: evacuate, Revision: revision}
}

const (
	applied  = wire.EvacuationOutcome_EVACUATION_OUTCOME_APPLIED
	inForce  = wire.EvacuationOutcome_EVACUATION_OUTCOME_IN_FORCE
	conflict = wire.EvacuationOutcome_EVACUATION_OUTCOME_CONFLICT
)

var _ = Describe("a set of evacuated data centres", func() {
	var s evacuation.Set
	BeforeEach(func() { s = evacuation.Set{} })
	apply := func(o *wire.EvacuationOrder) wire.EvacuationOutcome { return s.Apply(5, o).GetOutcome() }

	// Guards against an order that has no effect, and a repeat that counts as a change.
	It("applies an order once", func() {
		Expect(s.Evacuated()).To(BeEmpty())
		Expect(apply(order("a", true, 0))).To(Equal(applied))
		Expect(apply(order("a", true, 0))).To(Equal(inForce))
		Expect(apply(order("a", true, 1))).To(Equal(inForce))
		Expect(s.Get("a")).To(Equal(evacuation.State{Evacuated: true, Revision: 1, SinceUnixMS: 5}))
		Expect(apply(order("b", true, 0))).To(Equal(applied))
		Expect(s.Evacuated()).To(Equal([]string{"a", "b"}))
		Expect(apply(order("a", false, 1))).To(Equal(applied))
		Expect(s.Evacuated()).To(Equal([]string{"b"}))
	})

	// Guards against a delayed order that undoes a later one.
	It("does not apply an order for an earlier revision", func() {
		apply(order("a", true, 0))
		apply(order("a", false, 1))
		Expect(apply(order("a", true, 0))).To(Equal(conflict))
		Expect(s.Evacuated()).To(BeEmpty())
		apply(order("a", true, 2))
		Expect(apply(order("a", false, 1))).To(Equal(conflict))
		Expect(s.Evacuated()).To(Equal([]string{"a"}))
	})

	// Guards against coordinators whose states differ, because some of them have
	// restored a snapshot in between, and against revisions that decrease.
	It("is the same with and without a snapshot, in any order of the orders", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			var direct, restored evacuation.Set
			for range 60 {
				o := order(string(rune('a'+random.IntN(3))), random.IntN(2) == 0, uint64(random.IntN(12)))
				before := direct.Get(o.DataCentre)
				answer := direct.Apply(7, o)
				Expect(proto.Equal(restored.Apply(7, o), answer)).To(BeTrue(), "seed %d", seed)
				after := direct.Get(o.DataCentre)
				Expect(after.Revision).To(Equal(answer.GetRevision()))
				Expect(after == before).To(Equal(answer.GetOutcome() != applied), "seed %d", seed)
				if random.IntN(4) == 0 {
					data, err := proto.Marshal(&wire.CoordinatorState{Evacuations: restored.Snapshot()})
					Expect(err).NotTo(HaveOccurred())
					var state wire.CoordinatorState
					Expect(proto.Unmarshal(data, &state)).To(Succeed())
					restored = evacuation.Set{}
					restored.Restore(state.GetEvacuations())
				}
				Expect(restored.Evacuated()).To(Equal(direct.Evacuated()), "seed %d", seed)
			}
		}
	})

	// Guards against a snapshot of the earlier version that leaves data centres evacuated.
	It("is empty after a snapshot without evacuations", func() {
		apply(order("a", true, 0))
		s.Restore(nil)
		Expect(s.Evacuated()).To(BeEmpty())
		Expect(apply(order("a", true, 0))).To(Equal(applied))
	})

	// Guards against a state found on disk that hides a later one of the log.
	It("is merged by revision", func() {
		var other evacuation.Set
		apply(order("a", true, 0))
		other.Apply(5, order("a", true, 0))
		other.Apply(6, order("a", false, 1))
		other.Apply(6, order("b", true, 0))
		for _, merged := range []evacuation.Set{evacuation.Merge(&s, &other), evacuation.Merge(&other, &s)} {
			Expect(merged.Evacuated()).To(Equal([]string{"b"}))
		}
		Expect(s.Evacuated()).To(Equal([]string{"a"}))
	})
})
