package lease_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
)

// removal returns a command of the given kind for the current epoch and renewals.
func removal(a *lease.Agreement, kind lease.CommandKind, name string) lease.Command {
	return lease.Command{Kind: kind, Instance: name, Epoch: a.Epoch, Renewals: a.Members[name].Renewals}
}

var _ = Describe("CommandLeave", func() {
	// Guards against a delayed command of an earlier process of the instance,
	// which would remove the process that is running now.
	It("is refused if a renewal overtook it", func() {
		a := settledAgreement("a", "b")
		leave := removal(a, lease.CommandLeave, "a")
		settle(a, "a")
		Expect(a.Apply(leave).Granted).To(BeFalse())
		Expect(a.Apply(removal(a, lease.CommandLeave, "a")).Granted).To(BeTrue())
	})

	// Guards against an instance that joins the empty data centre and acts while
	// a removed member still acts under a promise of the one that left.
	It("of the last member waits until it has settled", func() {
		a := settledAgreement("a", "b")
		Expect(a.Apply(removal(a, lease.CommandExpire, "b")).Granted).To(BeTrue())
		leave := removal(a, lease.CommandLeave, "a")
		Expect(a.Apply(leave).Granted).To(BeFalse())
		leave.Settled = true
		Expect(a.Apply(leave).Granted).To(BeTrue())
	})
})

var _ = Describe("An agreement", func() {
	// Guards against a data centre that no instance can join again after its
	// sole member has died.
	It("lets an operator remove a sole member", func() {
		a := settledAgreement("a")
		Expect(a.Apply(removal(a, lease.CommandExpire, "a")).Granted).To(BeFalse())
		Expect(a.Apply(removal(a, lease.CommandForceRemove, "a")).Granted).To(BeTrue())
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "b"}).Granted).To(BeTrue())
	})

	// Guards against a field that is missing in a snapshot.
	It("survives a snapshot", func() {
		a := settledAgreement("a", "b", "c")
		Expect(a.Apply(removal(a, lease.CommandExpire, "c")).Granted).To(BeTrue())
		data, err := json.Marshal(a)
		Expect(err).NotTo(HaveOccurred())
		restored := lease.NewAgreement()
		Expect(json.Unmarshal(data, restored)).To(Succeed())
		Expect(restored).To(Equal(a))
	})
})
