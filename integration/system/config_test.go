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

// twoCentres are three voters in two data centres and an instance without a
// data folder in each.
func twoCentres() *fleet {
	return newFleet(
		spec{"n1", "north", true}, spec{"n2", "north", true}, spec{"n3", "north", false},
		spec{"s1", "south", true}, spec{"s2", "south", false},
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
		f = twoCentres()
		w = watch(f)
		c = newChanger(f)
		f.start(f.names...)
		c.change("n3")
		c.expectInForce(f.names...)
	})

	AfterEach(func() { w.expectNoneBackward() })
	AfterEach(func() { f.showLogs() })

	// Guards against acknowledged changes that are lost with their leader, and
	// against restarted instances that run an older version than before.
	It("survive the death and restart of the leader, a voter and an instance without a disk", func() {
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

	// Guards against a frozen leader that goes on as the leader after it
	// continues, and against instances that wait for a frozen peer.
	It("survive instances that are frozen and continued", func() {
		leader := f.leader(voters...)
		f.freeze(leader)
		c.change(f.others(leader)...)
		c.expectInForce(f.others(leader)...)
		f.thaw(leader)
		c.change(leader)
		c.expectInForce(f.names...)

		f.freeze("n3")
		f.freeze("s2")
		c.change("n1", "n2")
		f.thaw("n3")
		f.thaw("s2")
		c.change("s2", "n3")
		c.expectInForce(f.names...)
	})

	// Guards against a minority that acknowledges changes, against a leader that
	// stays one although nothing from it arrives, and against links that are used
	// although they have gone silent.
	It("survive partitions, one-way loss and silent connections", func() {
		f.between(north, south, faultproxy.Drop, faultproxy.ExistingAndNew)
		c.change(north...)
		c.expectInForce(north...)
		base, err := f.config("s1")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply("s1", request(base.Config, "minority", 1, "south"))
		Expect(err).To(HaveOccurred(), "a minority acknowledged a change")
		f.between(north, south, faultproxy.Forward, faultproxy.ExistingAndNew)
		c.expectInForce(f.names...)

		leader := f.leader(voters...)
		for _, peer := range f.others(leader) {
			f.oneWay(leader, peer, faultproxy.Fault{Kind: faultproxy.Drop}, faultproxy.ExistingAndNew)
		}
		c.change(f.others(leader)...)
		f.rejoin(leader)
		c.expectInForce(f.names...)

		for _, name := range f.names {
			f.between([]string{name}, f.others(name), faultproxy.Drop, faultproxy.ExistingOnly)
		}
		c.change("s2", "n3")
		c.expectInForce(f.names...)
	})

	// Guards against a history, and a report of who won, that lists the changes
	// of others as well, because the instance that was asked did not know them.
	It("are listed with what they changed, through instances that lag", func() {
		c.burst(10, "n1", "s2", "n3")
		expectHistory(f, c, "n1")
	})

	// Guards against two winners of one version, against a refusal that hides who
	// won, and against a resend that is applied again or answered anew.
	It("have one winner among racing operators, and one answer per operation", func() {
		for round := range 10 {
			if round == 5 {
				f.kill(f.leader(voters...)) // the two that remain are a majority
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

// expectOneWinner lets two operators race, and resends both requests.
func expectOneWinner(f *fleet, c *changer, round int) {
	GinkgoHelper()
	var alive []string
	for _, name := range f.names {
		if f.instances[name].process.running() {
			alive = append(alive, name)
		}
	}
	c.expectInForce(alive...)
	base, err := f.config(alive[0])
	Expect(err).NotTo(HaveOccurred())
	var replies [2]operatorapi.ApplyReply
	var requests [2]operatorapi.ApplyRequest
	var racers sync.WaitGroup
	send := func(racer int) {
		Eventually(func() (err error) {
			replies[racer], err = f.apply(alive[(round+racer)%len(alive)], requests[racer])
			return err
		}, inForceLimit).Should(Succeed(), "racer %d of round %d", racer, round)
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
	c.change(alive...) // a resend is to be answered as before, not from the newest version
	first := replies
	for racer := range requests {
		send(racer)
		Expect(replies[racer].Replayed).To(BeTrue())
		replies[racer].Replayed = first[racer].Replayed
		Expect(replies[racer]).To(Equal(first[racer]), "answer to a resend")
	}
}

// expectToolConflict applies an outdated folder with the command-line tool.
func expectToolConflict(f *fleet, c *changer) {
	GinkgoHelper()
	output, err := exec.Command(filepath.Join(programs, "hawthornctl"), "-a", f.instances["s2"].http(),
		"config", "apply", filepath.Join(f.dir, "config"), "--expect-version", "1", "--operator", "late").CombinedOutput()
	Expect(err).To(HaveOccurred())
	Expect(string(output)).To(And(ContainSubstring("nothing was changed"), ContainSubstring("operator-n3")))
	c.expectInForce("s2")
}
