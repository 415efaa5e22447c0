package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// settle renews each member in the current epoch.
func settle(a *lease.Agreement, names ...string) {
	for _, name := range names {
		Expect(a.Apply(lease.Command{Kind: lease.CommandRenew, Instance: name, Epoch: a.Epoch, Settled: true}).Granted).To(BeTrue())
	}
}

// joined returns an agreement with the given members, all settled.
func joined(names ...string) *lease.Agreement {
	a := lease.NewAgreement()
	for i, name := range names {
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: name}).Granted).To(BeTrue())
		settle(a, names[:i+1]...)
	}
	return a
}

var _ = Describe("Agreement", func() {
	// Guards against an instance that takes partitions which an owner, cut off
	// from the voters, still uses without knowing of the instance.
	It("lets an instance join only after every member has settled", func() {
		a := joined("a")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "b"}).Granted).To(BeTrue())
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeFalse())
		settle(a, "a")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeFalse())
		settle(a, "b")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeTrue())
	})

	// Guards against a takeover from an owner that renewed after the leader
	// looked, and against one decided for an earlier epoch.
	It("refuses to expire a member that has renewed since", func() {
		a := joined("a", "b")
		renewals := a.Members["a"].Renewals
		expire := lease.Command{Kind: lease.CommandExpire, Instance: "a", Epoch: a.Epoch, Renewals: renewals}
		settle(a, "a")
		Expect(a.Apply(expire).Granted).To(BeFalse())
		expire.Renewals = a.Members["a"].Renewals
		expire.Epoch--
		Expect(a.Apply(expire).Granted).To(BeFalse())
		expire.Epoch++
		Expect(a.Apply(expire).Granted).To(BeTrue())
		view := a.View()
		Expect(view.Names()).To(Equal([]string{"b"}))
	})

	// Guards against a successor whose promise the expired owner does not need,
	// and against a data centre whose last member is removed unseen.
	It("keeps only members that the expired one knew of, and never none", func() {
		a := joined("a", "b")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeTrue())
		settle(a, "b", "c")
		expire := lease.Command{Kind: lease.CommandExpire, Instance: "a", Epoch: a.Epoch, Renewals: a.Members["a"].Renewals}
		Expect(a.Apply(expire).Granted).To(BeTrue())
		view := a.View()
		Expect(view.Names()).To(Equal([]string{"b"}))
		sole := lease.Command{Kind: lease.CommandExpire, Instance: "b", Epoch: a.Epoch, Renewals: a.Members["b"].Renewals}
		Expect(a.Apply(sole).Granted).To(BeFalse())
	})
})

var _ = Describe("Watch", func() {
	start := time.Unix(1_700_000_000, 0)

	// Guards against a takeover before the lease and its margin have passed,
	// counted anew by a new leader.
	It("proposes to expire a member a whole wait after it was last seen to renew", func() {
		a := joined("a", "b")
		for range 2 { // the second round is a new leader
			watch := lease.NewExpiryMonitor()
			now := start
			Expect(watch.ExpireCommands(now, a)).To(BeEmpty())
			for now.Sub(start) < lease.ExpiryDelay-structs.OwnerRenewInterval {
				now = now.Add(structs.OwnerRenewInterval / 2)
				settle(a, "b")
				Expect(watch.ExpireCommands(now, a)).To(BeEmpty())
			}
			settle(a, "b")
			due := watch.ExpireCommands(start.Add(lease.ExpiryDelay), a)
			Expect(due).To(HaveLen(1))
			Expect(due[0].Instance).To(Equal("a"))
		}
	})

	// Guards against takeovers in a data centre that is cut off as a whole: its
	// members act under promises.
	It("proposes nothing while no member renews", func() {
		a := joined("a", "b")
		watch := lease.NewExpiryMonitor()
		Expect(watch.ExpireCommands(start, a)).To(BeEmpty())
		Expect(watch.ExpireCommands(start.Add(10*lease.ExpiryDelay), a)).To(BeEmpty())
	})
})
