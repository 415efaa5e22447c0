package deployment_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"hawthornshore.example/integration/deployment"
)

func TestDeployment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deployment")
}

// specTimeout bounds a spec, so that its processes are stopped even if it hangs.
const specTimeout = SpecTimeout(120 * time.Second)

// program builds hawthorn-platform once, with the race detector.
var program = sync.OnceValues(func() (string, error) {
	return gexec.Build("hawthornshore.example/apps/hawthorn-platform", "-race")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

var networks atomic.Int32 // loopback networks allocated by this process

// network returns a loopback network that other test processes are unlikely to use.
func network() int {
	const count = 250
	return (os.Getpid()*7 + int(networks.Add(1))) % count
}

// start starts a deployment and waits until it serves jobs.
func start(ctx context.Context, gateways, coordinators, targets int) *deployment.Deployment {
	GinkgoHelper()
	return startWith(ctx, deployment.Options{Gateways: gateways, Coordinators: coordinators, Targets: targets})
}

// startWith starts a deployment with other options, of which it sets the paths and the
// network.
func startWith(ctx context.Context, options deployment.Options) *deployment.Deployment {
	GinkgoHelper()
	binary, err := program()
	Expect(err).NotTo(HaveOccurred())
	targetsContext, stopTargets := context.WithCancel(context.Background())
	options.Folder, options.Binary, options.Network = GinkgoT().TempDir(), binary, network()
	d, err := deployment.Start(targetsContext, options)
	DeferCleanup(func() {
		stopTargets()
		d.Close()
		races := d.LogLines("DATA RACE")
		Expect(races).To(BeEmpty(), func() string { return d.LogLines("") })
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", d.LogLines(""))
		}
	})
	Expect(err).NotTo(HaveOccurred())
	operatedOn := d.Coordinators[0]
	if options.Absent == 1 {
		operatedOn = d.Coordinators[1]
	}
	Eventually(ctx, func() error { return d.ReplaceDocument(ctx, operatedOn) }).WithTimeout(30 * time.Second).Should(Succeed())
	Expect(d.WaitServing(ctx, jobID(999_999))).To(Succeed())
	return d
}

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

// jobCaller submits jobs concurrently and records their answers.
type jobCaller struct {
	requests sync.WaitGroup
	mu       sync.Mutex
	answers  []deployment.Answer
	next     int
}

// submit submits one job in the background.
func (c *jobCaller) submit(ctx context.Context, d *deployment.Deployment, gateway *deployment.Process, tasks int) {
	c.mu.Lock()
	c.next++
	id := jobID(c.next)
	c.mu.Unlock()
	c.requests.Go(func() {
		answer := d.Submit(ctx, gateway, id, tasks)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, answer)
	})
}

// expectGuarantees compares all answers with the runs that targets recorded.
func (c *jobCaller) expectGuarantees(ctx context.Context, d *deployment.Deployment) {
	GinkgoHelper()
	c.requests.Wait()
	Eventually(ctx, d.Idle).WithTimeout(20*time.Second).Should(BeTrue(), "no task runs once all requests have ended")
	Expect(d.Violations()).To(BeEmpty())
	started, completed := d.RunCounts()
	for _, answer := range c.answers {
		switch {
		case answer.State == "completed":
			Expect(completed[answer.JobID]).To(BeNumerically(">=", answer.Tasks), "tasks of completed job "+answer.JobID)
		case answer.Status == 503 || answer.Status == 429:
			Expect(started[answer.JobID]).To(BeZero(), "refused job "+answer.JobID+"\n"+d.LogLines(answer.JobID))
		}
	}
	for _, p := range append(d.Gateways, d.Coordinators...) {
		Expect(p.Running()).To(BeTrue(), "process "+p.Machine.IP)
	}
}

// count returns the number of answers with a status; 0 counts unanswered requests.
func (c *jobCaller) count(status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, answer := range c.answers {
		if answer.Status == status {
			count++
		}
	}
	return count
}
