package system

import (
	"net/http"
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/operatorapi"
)

var _ = Describe("G8: recovery of the system's own state", Ordered, ContinueOnFailure, func() {
	var f *fleet
	var c *changer
	var w *watcher

	BeforeAll(func() {
		f = twoCentres()
		w = watch(f)
		c = newChanger(f)
		f.start(f.names...)
		c.change("n3")
		c.expectInForce(f.names...)
	})

	AfterEach(func() { w.expectNoneBackward() })
	AfterEach(func() { f.showLogs() })

	// Guards against changes that are lost, repeated or out of order after a log
	// is read again, and against old versions that are reported while it is read.
	It("keeps 500 changes through the death of all processes", func() {
		c.burst(500, f.leader(voters...))
		c.expectInForce(f.names...)
		var killers sync.WaitGroup
		for _, name := range f.names {
			killers.Go(func() { f.kill(name) })
		}
		killers.Wait()
		f.start(f.names...)
		c.expectInForce(f.names...)
		for _, voter := range voters {
			expectHistory(f, c, voter)
		}
		c.change("s2")
		c.expectInForce(f.names...)
	})

	// Guards against a voter that votes or counts for a majority with an empty
	// disk, and against a repair that leaves the group one failure from its end.
	It("repairs two lost disks, one right after the other", func() {
		for _, lost := range f.others("n3", "s2", f.leader(voters...)) {
			loseDisk(f, c, lost)
		}
		c.expectInForce(f.names...)
		// Only a repaired disk makes a majority with another one now.
		old := f.leader(voters...)
		f.kill(old)
		c.change(f.others(old)...)
		f.start(old)
		c.expectInForce(f.names...)
	})

	// Guards against a lost disk of the leader or of the instance that formed the
	// group, which must not form another one.
	It("repairs the lost disk of the leader", func() {
		loseDisk(f, c, f.leader(voters...))
		loseDisk(f, c, "n1")
		c.expectInForce(f.names...)
	})

	// Guards against a voter that raises the term while it is isolated and
	// deposes the leader when it comes back.
	It("takes an isolated voter back without another change of leader", func() {
		leader := f.leader(voters...)
		term := f.status(leader).Term
		follower := f.others("n3", "s2", leader)[0]
		f.isolate(follower)
		for range 3 {
			c.change(f.others(follower)...)
		}
		Eventually(func() string { return f.status(follower).Leader }, startLimit).Should(BeEmpty(), "%s has noticed its isolation", follower)
		Consistently(func() uint64 { return f.status(follower).Term }, "4s").Should(Equal(term), "term of the isolated voter")
		f.rejoin(follower)
		c.expectInForce(f.names...)
		expectLeader(f, leader, term)

		f.isolate(leader)
		c.change(f.others(leader)...)
		next := f.leader(f.others(leader)...)
		term = f.status(next).Term
		c.change(f.others(leader)...)
		f.rejoin(leader)
		c.expectInForce(f.names...)
		expectLeader(f, next, term)
	})
})

// expectLeader waits until all voters follow a leader, all in the given term.
func expectLeader(f *fleet, leader string, term uint64) {
	GinkgoHelper()
	for _, voter := range voters {
		Eventually(func() string { return f.status(voter).Leader }, inForceLimit).Should(Equal(leader), "leader known to %s", voter)
		Expect(f.status(voter).Term).To(Equal(term), "term of %s", voter)
	}
}

// loseDisk kills a voter, removes its data folder and starts it, and waits
// until it is a learner and then a voter. Changes go on.
func loseDisk(f *fleet, c *changer, lost string) {
	GinkgoHelper()
	f.kill(lost)
	Expect(os.RemoveAll(f.dataFolder(lost))).To(Succeed())
	c.change(f.others(lost)...)
	observer := f.leader(f.others(lost, "n3", "s2")...)
	f.start(lost)
	Eventually(func() operatorapi.MemberRole { return role(f, observer, lost) }, inForceLimit).
		Should(Equal(operatorapi.RoleLearner), "role of %s after it lost its disk", lost)
	Eventually(func() operatorapi.MemberRole { return role(f, observer, lost) }, inForceLimit).
		Should(Equal(operatorapi.RoleVoter), "role of %s after its repair", lost)
	c.change(lost)
}

// role returns an instance's role in the view of another one.
func role(f *fleet, observer, name string) operatorapi.MemberRole {
	var members operatorapi.Members
	if code, _ := call(http.MethodGet, f.instances[observer].http(), operatorapi.PathMembers, nil, &members); code != http.StatusOK {
		return ""
	}
	for _, member := range members.Members {
		if member.Instance == name {
			return member.Role
		}
	}
	return ""
}

// expectHistory checks that a voter knows each version once, and each
// acknowledged change under the version that was acknowledged.
func expectHistory(f *fleet, c *changer, voter string) {
	GinkgoHelper()
	var history operatorapi.History
	// A voter can have its configuration from a peer before its own log is applied.
	Eventually(func() uint64 {
		history = operatorapi.History{}
		code, _ := call(http.MethodGet, f.instances[voter].http(), operatorapi.PathHistory, nil, &history)
		if code != http.StatusOK || len(history.Revisions) == 0 {
			return 0
		}
		return history.Revisions[0].Version
	}, inForceLimit).Should(Equal(c.newest), "newest version in the history of %s", voter)
	operations := make(map[uint64]string)
	for n, revision := range history.Revisions {
		Expect(revision.Version).To(Equal(c.newest-uint64(n)), "version %d from the end at %s", n, voter)
		operations[revision.Version] = revision.OperationID
		if revision.Version > 1 { // the first one sets everything
			expectOwnChanges(&revision)
		}
	}
	for _, change := range c.acknowledged {
		if change.version > c.newest-uint64(len(history.Revisions)) {
			Expect(operations).To(HaveKeyWithValue(change.version, change.operation), "history of %s", voter)
		}
	}
	const kept = 256
	Expect(history.Revisions).To(HaveLen(min(kept, int(c.newest))), "history kept by %s", voter)
}

// expectOwnChanges checks that a change is not listed with changes of others: an
// operator who lost a race is told them as the winner's.
func expectOwnChanges(revision *operatorapi.HistoryEntry) {
	GinkgoHelper()
	sections := make(map[string]bool)
	for _, change := range revision.Changes {
		sections[change.Section] = true
	}
	Expect(sections).To(HaveLen(1), "sections that version %d changed, by %s", revision.Version, revision.OperationID)
}
