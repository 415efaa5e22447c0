package integration_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"hawthornshore.example/integration"
	"hawthornshore.example/structs"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

// specTimeout bounds a spec, so that its processes are stopped even if it hangs.
const specTimeout = SpecTimeout(90 * time.Second)

// programs builds the programs once, with the race detector. A data race fails
// the spec.
var programs = sync.OnceValues(func() (integration.Programs, error) {
	daemon, err := gexec.Build("hawthornshore.example/apps/hawthornd", "-race")
	if err != nil {
		return integration.Programs{}, err
	}
	target, err := gexec.Build("hawthornshore.example/apps/hawthorn-target", "-race")
	return integration.Programs{Daemon: daemon, Target: target}, err
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// newCluster starts three instances without targets.
func newCluster() *integration.Cluster {
	GinkgoHelper()
	built, err := programs()
	Expect(err).NotTo(HaveOccurred())
	c, err := integration.NewCluster(built, GinkgoT().TempDir(), "north-1", "north-2", "north-3")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		c.Close()
		logs := c.Logs()
		Expect(logs).NotTo(ContainSubstring("DATA RACE"))
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", logs)
		}
	})
	for _, instance := range c.Instances {
		Expect(instance.Start()).To(Succeed())
	}
	return c
}

// addTargets starts targets and waits until all instances are warmed up.
func addTargets(ctx context.Context, c *integration.Cluster, slots int, ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		addTarget(c, id, slots)
	}
	Expect(c.WarmUp(ctx)).To(Succeed())
}

func addTarget(c *integration.Cluster, id string, slots int, args ...string) *integration.Target {
	GinkgoHelper()
	target, err := c.AddTarget(id, slots, args...)
	Expect(err).NotTo(HaveOccurred())
	return target
}

// jobCaller submits jobs and records their answers.
type jobCaller struct {
	requests   sync.WaitGroup
	mu         sync.Mutex
	exchanges  []integration.Exchange
	unanswered int // requests without an answer
}

// submit submits a job and waits for its answer.
func (c *jobCaller) submit(ctx context.Context, at *integration.Instance, job structs.Job) structs.Answer {
	answer, err := at.Submit(ctx, job)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unanswered++
		return structs.Answer{}
	}
	c.exchanges = append(c.exchanges, integration.Exchange{Job: job, Answer: answer})
	return answer
}

// submitAsync submits a job in the background.
func (c *jobCaller) submitAsync(ctx context.Context, at *integration.Instance, job structs.Job) {
	c.requests.Go(func() { c.submit(ctx, at, job) })
}

func (c *jobCaller) wait() { c.requests.Wait() }

// outcomes counts the answers by outcome.
func (c *jobCaller) outcomes() map[structs.Outcome]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[structs.Outcome]int)
	for _, e := range c.exchanges {
		counts[e.Answer.Outcome]++
	}
	return counts
}

// settleTime is how long targets may still receive starts after the last answer.
const settleTime = 1500 * time.Millisecond

// expectGuarantees waits for late starts and compares answers with the start records.
func (c *jobCaller) expectGuarantees(cluster *integration.Cluster) {
	GinkgoHelper()
	c.wait()
	time.Sleep(settleTime)
	starts, err := cluster.Starts()
	Expect(err).NotTo(HaveOccurred())
	Expect(starts).NotTo(BeEmpty())
	Expect(integration.Violations(starts, c.exchanges)).To(BeEmpty())
}
