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
func twoDataCentres() *fleet {
	return newFleet(
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
	var f *fleet
	var c *changer
	var w *watcher

	BeforeAll(func() {
		f = twoDataCentres()
		w = watch(f)
		c = newChanger(f)
		f.start(f.names...)
		c.change("n3")
		c.expectInForce(f.names...)
	})

	AfterEach(func() { w.expectNoRegressions() })
	AfterEach(func() { f.showLogs() })

	// Guards against acknowledged changes that are lost when their leader is killed,
	// and against restarted instances that run an older version than before.
	It("survive a kill and restart of the leader, a voter and an instance without a disk", func() {
		leader := f.leader(voters...)
		f.kill(leader)
		c.change(f.others(leader)...)
		c.change(f.others(leader)...)
		f.start(leader)
		c.change(leader)
		c.expectInForce(f.names...)

		follower := f.others("n3", "s2", f.leader(voters...))[0]
		f.kill(follower)
		f.kill("n3")
		c.change("s2")
		f.start(follower, "n3")
		c.change("n3", "s2")
		c.expectInForce(f.names...)
	})

	// Guards against a paused leader that still acts as the leader after it resumes,
	// and against instances that block on a paused peer.
	It("survive instances that are paused and resumed", func() {
		leader := f.leader(voters...)
		f.pause(leader)
		c.change(f.others(leader)...)
		c.expectInForce(f.others(leader)...)
		f.resume(leader)
		c.change(leader)
		c.expectInForce(f.names...)

		f.pause("n3")
		f.pause("s2")
		c.change("n1", "n2")
		f.resume("n3")
		f.resume("s2")
		c.change("s2", "n3")
		c.expectInForce(f.names...)
	})

	// Guards against a minority that acknowledges changes, against a leader that
	// remains leader although no peer receives its messages, and against the use of
	// links whose connection is silent.
	It("survive partitions, one-way loss and silent connections", func() {
		f.setFaultBetween(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		c.change(north...)
		c.expectInForce(north...)
		base, err := f.config("s1")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply("s1", request(base.Config, "minority", 1, "south"))
		Expect(err).To(HaveOccurred(), "a minority acknowledged a change")
		f.setFaultBetween(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		c.expectInForce(f.names...)

		leader := f.leader(voters...)
		for _, peer := range f.others(leader) {
			f.setFault(leader, peer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		}
		c.change(f.others(leader)...)
		f.rejoin(leader)
		c.expectInForce(f.names...)

		for _, name := range f.names {
			f.setFaultBetween([]string{name}, f.others(name), faultproxy.Drop, faultproxy.ExistingOnly)
		}
		c.change("s2", "n3")
		c.expectInForce(f.names...)
	})

	// Guards against a history, and a conflict report, that attribute the changes of
	// others to an operation because the instance that received it lagged behind.
	It("are listed with what they changed, through instances that lag", func() {
		c.burst(10, "n1", "s2", "n3")
		expectHistory(f, c, "n1")
	})

	// Guards against two winners of one version, against a refusal without the
	// winner, and against a resend that is applied again or gets another answer.
	It("have one winner among racing operators, and one answer per operation", func() {
		for round := range 10 {
			if round == 5 {
				f.kill(f.leader(voters...)) // the two remaining voters are a majority
			}
			expectOneWinner(f, c, round)
		}
		for _, name := range f.names {
			if !f.instances[name].process.running() {
				f.start(name)
			}
		}
		c.expectInForce(f.names...)
		expectToolConflict(f, c)
	})
})

// expectOneWinner sends two concurrent changes of one version and resends both.
func expectOneWinner(f *fleet, c *changer, round int) {
	GinkgoHelper()
	var running []string
	for _, name := range f.names {
		if f.instances[name].process.running() {
			running = append(running, name)
		}
	}
	c.expectInForce(running...)
	base, err := f.config(running[0])
	Expect(err).NotTo(HaveOccurred())
	var replies [2]operatorapi.ApplyReply
	var requests [2]operatorapi.ApplyRequest
	var racers sync.WaitGroup
	send := func(racer int) {
		Eventually(func() (err error) {
			replies[racer], err = f.apply(running[(round+racer)%len(running)], requests[racer])
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
func expectToolConflict(f *fleet, c *changer) {
	GinkgoHelper()
	output, err := exec.Command(filepath.Join(programs, "hawthornctl"), "-a", f.instances["s2"].http(),
		"config", "apply", filepath.Join(f.dir, "config"), "--expect-version", "1", "--operator", "late").CombinedOutput()
	Expect(err).To(HaveOccurred())
	Expect(string(output)).To(And(ContainSubstring("nothing was changed"), ContainSubstring("operator-n3")))
	c.expectInForce("s2")
}
