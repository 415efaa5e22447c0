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
	var cluster *cluster
	var c *changer
	var w *watcher

	BeforeAll(func() {
		cluster = twoDataCentres()
		w = watch(cluster)
		c = newChanger(cluster)
		cluster.start(cluster.names...)
		c.change("n3")
		c.expectInForce(cluster.names...)
	})

	AfterEach(func() { w.expectNoRegressions() })
	AfterEach(func() { cluster.showLogs() })

	// Guards against changes that are lost, repeated or out of order after a log is
	// replayed, and against old versions that are reported during the replay.
	It("keeps 500 changes when all processes are killed", func() {
		c.burst(500, cluster.leader(voters...))
		c.expectInForce(cluster.names...)
		var kills sync.WaitGroup
		for _, name := range cluster.names {
			kills.Go(func() { cluster.kill(name) })
		}
		kills.Wait()
		cluster.start(cluster.names...)
		c.expectInForce(cluster.names...)
		for _, voter := range voters {
			expectHistory(cluster, c, voter)
		}
		c.change("s2")
		c.expectInForce(cluster.names...)
	})

	// Guards against a voter that votes or counts for a majority with an empty disk,
	// and against a repair after which the group tolerates no further failure.
	It("repairs two lost disks, one right after the other", func() {
		for _, lost := range cluster.others("n3", "s2", cluster.leader(voters...)) {
			loseDisk(cluster, c, lost)
		}
		c.expectInForce(cluster.names...)
		// A majority without the old leader needs a repaired disk.
		old := cluster.leader(voters...)
		cluster.kill(old)
		c.change(cluster.others(old)...)
		cluster.start(old)
		c.expectInForce(cluster.names...)
	})

	// Guards against a lost disk of the leader or of the instance that bootstrapped
	// the group, which must not bootstrap another one.
	It("repairs the lost disk of the leader", func() {
		loseDisk(cluster, c, cluster.leader(voters...))
		loseDisk(cluster, c, "n1")
		c.expectInForce(cluster.names...)
	})

	// Guards against a voter that raises the term while it is isolated and deposes
	// the leader when it rejoins.
	It("readmits an isolated voter without another change of leader", func() {
		leader := cluster.leader(voters...)
		term := cluster.status(leader).Term
		follower := cluster.others("n3", "s2", leader)[0]
		cluster.isolate(follower)
		for range 3 {
			c.change(cluster.others(follower)...)
		}
		Eventually(func() string { return cluster.status(follower).Leader }, startTimeout).Should(BeEmpty(), "leader according to isolated %s", follower)
		Consistently(func() uint64 { return cluster.status(follower).Term }, "4s").Should(Equal(term), "term of the isolated voter")
		cluster.rejoin(follower)
		c.expectInForce(cluster.names...)
		expectLeader(cluster, leader, term)

		cluster.isolate(leader)
		c.change(cluster.others(leader)...)
		next := cluster.leader(cluster.others(leader)...)
		term = cluster.status(next).Term
		c.change(cluster.others(leader)...)
		cluster.rejoin(leader)
		c.expectInForce(cluster.names...)
		expectLeader(cluster, next, term)
	})
})

// expectLeader waits until all voters follow a leader, all in the given term.
func expectLeader(cluster *cluster, leader string, term uint64) {
	GinkgoHelper()
	for _, voter := range voters {
		Eventually(func() string { return cluster.status(voter).Leader }, inForceTimeout).Should(Equal(leader), "leader according to %s", voter)
		Expect(cluster.status(voter).Term).To(Equal(term), "term of %s", voter)
	}
}

// loseDisk kills a voter, removes its data folder, restarts it, and waits until it
// is a learner and then a voter. Changes are applied meanwhile.
func loseDisk(cluster *cluster, c *changer, lost string) {
	GinkgoHelper()
	cluster.kill(lost)
	Expect(os.RemoveAll(cluster.dataFolder(lost))).To(Succeed())
	c.change(cluster.others(lost)...)
	observer := cluster.leader(cluster.others(lost, "n3", "s2")...)
	cluster.start(lost)
	Eventually(func() operatorapi.MemberRole { return role(cluster, observer, lost) }, inForceTimeout).
		Should(Equal(operatorapi.RoleLearner), "role of %s after it lost its disk", lost)
	Eventually(func() operatorapi.MemberRole { return role(cluster, observer, lost) }, inForceTimeout).
		Should(Equal(operatorapi.RoleVoter), "role of %s after its repair", lost)
	c.change(lost)
}

// role returns an instance's role as another one reports it.
func role(cluster *cluster, observer, name string) operatorapi.MemberRole {
	var members operatorapi.Members
	if code, _ := call(http.MethodGet, cluster.instances[observer].http(), operatorapi.PathMembers, nil, &members); code != http.StatusOK {
		return ""
	}
	for _, member := range members.Members {
		if member.Instance == name {
			return member.Role
		}
	}
	return ""
}

// expectHistory checks that a voter's history has each version once, and each
// acknowledged change under its acknowledged version.
func expectHistory(cluster *cluster, c *changer, voter string) {
	GinkgoHelper()
	var history operatorapi.History
	// A voter can have its configuration from a peer before its own log is applied.
	Eventually(func() uint64 {
		history = operatorapi.History{}
		code, _ := call(http.MethodGet, cluster.instances[voter].http(), operatorapi.PathHistory, nil, &history)
		if code != http.StatusOK || len(history.Revisions) == 0 {
			return 0
		}
		return history.Revisions[0].Version
	}, inForceTimeout).Should(Equal(c.newest), "newest version in the history of %s", voter)
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

// expectOwnChanges checks that a revision does not list changes of others, which
// the operator who lost a race would get as the winner's.
func expectOwnChanges(revision *operatorapi.HistoryEntry) {
	GinkgoHelper()
	sections := make(map[string]bool)
	for _, change := range revision.Changes {
		sections[change.Section] = true
	}
	Expect(sections).To(HaveLen(1), "sections that version %d changed, by %s", revision.Version, revision.OperationID)
}
