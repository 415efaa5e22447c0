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

// settle renews the given members as settled in the current epoch.
func settle(a *lease.Agreement, names ...string) {
	for _, name := range names {
		Expect(a.Apply(lease.Command{Kind: lease.CommandRenew, Instance: name, Epoch: a.Epoch, Settled: true}).Granted).To(BeTrue())
	}
}

// settledAgreement returns an agreement with the given members, all settled.
func settledAgreement(names ...string) *lease.Agreement {
	a := lease.NewAgreement()
	for i, name := range names {
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: name}).Granted).To(BeTrue())
		settle(a, names[:i+1]...)
	}
	return a
}

var _ = Describe("Agreement", func() {
	// Guards against an instance that takes partitions which an owner, cut off
	// from the voters, still uses in an epoch without the instance.
	It("lets an instance join only after every member has settled", func() {
		a := settledAgreement("a")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "b"}).Granted).To(BeTrue())
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeFalse())
		settle(a, "a")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeFalse())
		settle(a, "b")
		Expect(a.Apply(lease.Command{Kind: lease.CommandJoin, Instance: "c"}).Granted).To(BeTrue())
	})

	// Guards against a takeover from an owner that renewed after the leader's
	// check, and against one decided for an earlier epoch.
	It("refuses to expire a member that has renewed since", func() {
		a := settledAgreement("a", "b")
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
	// and against the removal of a last member that may still act.
	It("removes members that joined since the last renewal of the expired one, and never all", func() {
		a := settledAgreement("a", "b")
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

var _ = Describe("ExpiryMonitor", func() {
	start := time.Unix(1_700_000_000, 0)

	// Guards against a takeover before the lease and its margin have passed, which
	// a new leader counts from its own start.
	It("proposes to expire a member one ExpiryDelay after its last observed renewal", func() {
		a := settledAgreement("a", "b")
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
		a := settledAgreement("a", "b")
		watch := lease.NewExpiryMonitor()
		Expect(watch.ExpireCommands(start, a)).To(BeEmpty())
		Expect(watch.ExpireCommands(start.Add(10*lease.ExpiryDelay), a)).To(BeEmpty())
	})
})
