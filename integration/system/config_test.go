package system

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/operatorapi"
)

// twoDataCentres returns three voters in two data centres and, in each, an
// instance without a data folder.
func twoDataCentres() *cluster {
	return newCluster(
		instanceSpec{"n1", "north", true}, instanceSpec{"n2", "north", true}, instanceSpec{"n3", "north", false},
		instanceSpec{"s1", "south", true}, instanceSpec{"s2", "south", false},
	)
}

var (
	north  = []string{"n1", "n2", "n3"}
	south  = []string{"s1", "s2"}
	voters = []string{"n1", "n2", "s1"}
)

var _ = Describe("G8: configuration changes", Ordered, ContinueOnFailure, func() {
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

	// Guards against acknowledged changes that are lost when their leader is killed,
	// and against restarted instances that run an older version than before.
	It("survive a kill and restart of the leader, a voter and an instance without a disk", func() {
		leader := cluster.leader(voters...)
		cluster.kill(leader)
		c.change(cluster.others(leader)...)
		c.change(cluster.others(leader)...)
		cluster.start(leader)
		c.change(leader)
		c.expectInForce(cluster.names...)

		follower := cluster.others("n3", "s2", cluster.leader(voters...))[0]
		cluster.kill(follower)
		cluster.kill("n3")
		c.change("s2")
		cluster.start(follower, "n3")
		c.change("n3", "s2")
		c.expectInForce(cluster.names...)
	})

	// Guards against a paused leader that still acts as the leader after it resumes,
	// and against instances that block on a paused peer.
	It("survive instances that are paused and resumed", func() {
		leader := cluster.leader(voters...)
		cluster.pause(leader)
		c.change(cluster.others(leader)...)
		c.expectInForce(cluster.others(leader)...)
		cluster.resume(leader)
		c.change(leader)
		c.expectInForce(cluster.names...)

		cluster.pause("n3")
		cluster.pause("s2")
		c.change("n1", "n2")
		cluster.resume("n3")
		cluster.resume("s2")
		c.change("s2", "n3")
		c.expectInForce(cluster.names...)
	})

	// Guards against a minority that acknowledges changes, against a leader that
	// remains leader although no peer receives its messages, and against the use of
	// links whose connection is silent.
	It("survive partitions, one-way loss and silent connections", func() {
		cluster.setFaultBetween(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		c.change(north...)
		c.expectInForce(north...)
		base, err := cluster.config("s1")
		Expect(err).NotTo(HaveOccurred())
		_, err = cluster.apply("s1", request(base.Config, "minority", 1, "south"))
		Expect(err).To(HaveOccurred(), "a minority acknowledged a change")
		cluster.setFaultBetween(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		c.expectInForce(cluster.names...)

		leader := cluster.leader(voters...)
		for _, peer := range cluster.others(leader) {
			cluster.setFault(leader, peer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		}
		c.change(cluster.others(leader)...)
		cluster.rejoin(leader)
		c.expectInForce(cluster.names...)

		for _, name := range cluster.names {
			cluster.setFaultBetween([]string{name}, cluster.others(name), faultproxy.Drop, faultproxy.ExistingOnly)
		}
		c.change("s2", "n3")
		c.expectInForce(cluster.names...)
	})

	// Guards against a history, and a conflict report, that attribute the changes of
	// others to an operation because the instance that received it lagged behind.
	It("are listed with what they changed, through instances that lag", func() {
		c.burst(10, "n1", "s2", "n3")
		expectHistory(cluster, c, "n1")
	})

	// Guards against two winners of one version, against a refusal without the
	// winner, and against a resend that is applied again or gets another answer.
	It("have one winner among racing operators, and one answer per operation", func() {
		for round := range 10 {
			if round == 5 {
				cluster.kill(cluster.leader(voters...)) // the two remaining voters are a majority
			}
			expectOneWinner(cluster, c, round)
		}
		for _, name := range cluster.names {
			if !cluster.instances[name].process.running() {
				cluster.start(name)
			}
		}
		c.expectInForce(cluster.names...)
		expectToolConflict(cluster, c)
	})
})

// expectOneWinner sends two concurrent changes of one version and resends both.
func expectOneWinner(cluster *cluster, c *changer, round int) {
	GinkgoHelper()
	var running []string
	for _, name := range cluster.names {
		if cluster.instances[name].process.running() {
			running = append(running, name)
		}
	}
	c.expectInForce(running...)
	base, err := cluster.config(running[0])
	Expect(err).NotTo(HaveOccurred())
	var replies [2]operatorapi.ApplyReply
	var requests [2]operatorapi.ApplyRequest
	var racers sync.WaitGroup
	send := func(racer int) {
		Eventually(func() (err error) {
			replies[racer], err = cluster.apply(running[(round+racer)%len(running)], requests[racer])
			return err
		}, inForceTimeout).Should(Succeed(), "racer %d of round %d", racer, round)
	}
	for racer := range requests {
		requests[racer] = request(base.Config, fmt.Sprintf("r%d-%d", round, racer), 1, fmt.Sprintf("racer-%d", racer))
		racers.Go(func() {
			defer GinkgoRecover()
			send(racer)
		})
	}
	racers.Wait()
	winner, loser := 0, 1
	if replies[0].Result != operatorapi.ApplyApplied {
		winner, loser = 1, 0
	}
	Expect(replies[winner].Result).To(Equal(operatorapi.ApplyApplied))
	Expect(replies[loser].Result).To(Equal(operatorapi.ApplyConflict))
	Expect(replies[loser].Conflict.Winner.Operator).To(Equal(requests[winner].Operator))
	Expect(replies[loser].Conflict.Winner.OperationID).To(Equal(requests[winner].OperationID))
	c.acknowledge(fmt.Sprintf("r%d-%d", round, winner), replies[winner].Version, requests[winner])
	c.change(running...) // a resend must get the original answer, not one from the newest version
	first := replies
	for racer := range requests {
		send(racer)
		Expect(replies[racer].Replayed).To(BeTrue())
		replies[racer].Replayed = first[racer].Replayed
		Expect(replies[racer]).To(Equal(first[racer]), "answer to a resend")
	}
}

// expectToolConflict expects that hawthornctl refuses to apply an outdated folder.
func expectToolConflict(cluster *cluster, c *changer) {
	GinkgoHelper()
	output, err := exec.Command(filepath.Join(programs, "hawthornctl"), "-a", cluster.instances["s2"].http(),
		"config", "apply", filepath.Join(cluster.dir, "config"), "--expect-version", "1", "--operator", "late").CombinedOutput()
	Expect(err).To(HaveOccurred())
	Expect(string(output)).To(And(ContainSubstring("nothing was changed"), ContainSubstring("operator-n3")))
	c.expectInForce("s2")
}
