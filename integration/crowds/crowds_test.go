package crowds_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"hawthornshore.example/integration/deployment"
	"hawthornshore.example/platform/standin"
)

const (
	// enabled is the environment variable with which scripts/test.sh runs this package,
	// after all others: its processes need the machine for themselves.
	enabled = "HAWTHORN_CROWDS"

	memoryMB = 96 // of each machine
	// coordinatorMB is the memory of a coordinator's machine in the deployments.
	coordinatorMB = 408
	maxFDs        = 500 // of each machine
	fileFDs       = 200 // of maxFDs, reserved for files
	// residentShare is the part of the machine's memory for the process. The rest is
	// for what the kernel holds for its connections.
	residentShare = 0.75
	specTimeout   = SpecTimeout(90 * time.Second)
	answerTimeout = 20 * time.Second
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 50 * time.Millisecond
)

func TestCrowds(t *testing.T) {
	if os.Getenv(enabled) == "" {
		t.Skip("runs alone, in a step of its own of scripts/test.sh")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "crowds")
}

// program builds hawthorn-platform as the deploy file does, without the race detector,
// which multiplies the memory of a process.
var program = sync.OnceValues(func() (string, error) {
	return gexec.Build("hawthornshore.example/apps/hawthorn-platform", "-ldflags=-linkmode=external")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

var networks atomic.Int32

func network() int {
	const count = 250
	return (os.Getpid()*11 + int(networks.Add(1))) % count
}

func start(ctx context.Context) *deployment.Deployment {
	GinkgoHelper()
	return startWith(ctx, memoryMB)
}

// startWith starts a deployment of machines with the given memory and waits until it
// serves jobs.
func startWith(ctx context.Context, megabytes int) *deployment.Deployment {
	GinkgoHelper()
	binary, err := program()
	Expect(err).NotTo(HaveOccurred())
	targetsContext, stopTargets := context.WithCancel(context.Background())
	d, err := deployment.Start(targetsContext, deployment.Options{
		Folder: GinkgoT().TempDir(), Binary: binary, Network: network(),
		Gateways: 1, Coordinators: 3, Targets: 2, MemoryMB: megabytes, MaxFDs: maxFDs,
	})
	DeferCleanup(func() {
		stopTargets()
		d.Close()
	})
	Expect(err).NotTo(HaveOccurred())
	Eventually(ctx, func() error { return d.ReplaceDocument(ctx, d.Coordinators[0]) }).WithTimeout(30 * time.Second).Should(Succeed())
	Expect(d.WaitServing(ctx, fmt.Sprintf("%016x", 999_999))).To(Succeed())
	return d
}

// role is the process that a crowd connects to.
type role struct {
	name    string
	process func(*deployment.Deployment) *deployment.Process
	port    string
	path    func(client int) string
	// answers reports whether an ordinary request is answered.
	answers func(ctx context.Context, d *deployment.Deployment, p *deployment.Process, number int) bool
}

var roles = []role{
	{
		name: "gateway", port: "7101",
		process: func(d *deployment.Deployment) *deployment.Process { return d.Gateways[0] },
		path:    func(client int) string { return fmt.Sprintf("/work/%016x", 1_000_000+client) },
		answers: func(ctx context.Context, d *deployment.Deployment, p *deployment.Process, number int) bool {
			return d.Submit(ctx, p, fmt.Sprintf("%016x", number), 1).State == "completed"
		},
	},
	{
		name: "coordinator", port: "7103",
		process: func(d *deployment.Deployment) *deployment.Process { return d.Coordinators[1] },
		path:    func(client int) string { return standin.HeartbeatPath(fmt.Sprintf("x-%d", client)) },
		answers: func(ctx context.Context, d *deployment.Deployment, p *deployment.Process, _ int) bool {
			version, err := d.DocumentVersion(ctx, p)
			return err == nil && version > 0
		},
	},
}

// observer records the most sockets that a process had open.
type observer struct {
	pid     int
	sockets atomic.Int64
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func observe(ctx context.Context, pid int) *observer {
	ctx, cancel := context.WithCancel(ctx)
	o := &observer{pid: pid, cancel: cancel}
	o.done.Go(func() {
		for pause(ctx, sampleInterval) {
			o.sockets.Store(max(o.sockets.Load(), countSockets(pid)))
		}
	})
	return o
}

func countSockets(pid int) int64 {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return 0
	}
	var count int64
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && strings.HasPrefix(name, "socket:") {
			count++
		}
	}
	return count
}

// peakResidentKB returns VmHWM of a process.
func peakResidentKB(pid int) int64 {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kb
		}
	}
	Fail("the process has no VmHWM")
	return 0
}

// expectBounds checks that the process lives within its machine's resources.
func (o *observer) expectBounds(p *deployment.Process, idleKB int64) {
	GinkgoHelper()
	o.cancel()
	o.done.Wait()
	Expect(p.Running()).To(BeTrue(), "the process has ended")
	peak := peakResidentKB(o.pid)
	AddReportEntry("figures", fmt.Sprintf("idle %d kB, peak %d kB, sockets %d", idleKB, peak, o.sockets.Load()))
	const bound = residentShare * memoryMB * 1024
	Expect([]bool{float64(peak) <= bound, o.sockets.Load() <= maxFDs-fileFDs}).To(HaveEach(true),
		"peak resident memory %d kB of %.0f, sockets %d of %d", peak, bound, o.sockets.Load(), maxFDs-fileFDs)
}

// run starts crowds, expects an ordinary answer while they stay open, and checks the bounds.
func run(ctx context.Context, r role, kinds ...kind) {
	GinkgoHelper()
	d := start(ctx)
	p := r.process(d)
	idle := peakResidentKB(p.PID())
	o := observe(ctx, p.PID())
	var starting sync.WaitGroup
	crowds := make([]*crowd, len(kinds))
	for i, k := range kinds {
		starting.Go(func() {
			crowds[i] = startCrowd(ctx, net.JoinHostPort(p.Machine.IP, r.port), clients/len(kinds), k, r.path)
		})
	}
	starting.Wait()
	answered := Eventually(ctx, func() bool { return r.answers(ctx, d, p, 1) }).WithTimeout(answerTimeout)
	answered.Should(BeTrue(), "an ordinary request while the crowd stays")
	for _, c := range crowds {
		c.stop()
	}
	Eventually(ctx, func() bool { return r.answers(ctx, d, p, 2) }).WithTimeout(answerTimeout).
		Should(BeTrue(), "an ordinary request after the crowd")
	o.expectBounds(p, idle)
}

var _ = Describe("a crowd of clients", func() {
	for _, r := range roles {
		for _, k := range []kind{
			bodiesAtOnce, bodiesInPieces, oneLargeChunk, verySmallChunks,
			headsOverLimit, headsWithoutEnd, linesBeforeRequest,
		} {
			// Guards against requests that hold memory or descriptors beyond those of the
			// machine, and against ordinary requests that get no answer beside them.
			It("at a "+r.name+" sends "+k.name, specTimeout, func(ctx SpecContext) { run(ctx, r, k) })
		}

		// Guards against limits that hold for each kind of client alone.
		It("at a "+r.name+" sends two kinds at once", specTimeout, func(ctx SpecContext) {
			run(ctx, r, bodiesInPieces, headsWithoutEnd)
		})

		// Guards against open requests that hold up a planned stop.
		It("at a "+r.name+" stays while it stops", specTimeout, func(ctx SpecContext) {
			d := start(ctx)
			p := r.process(d)
			c := startCrowd(ctx, net.JoinHostPort(p.Machine.IP, r.port), clients, bodiesInPieces, r.path)
			defer c.stop()
			Expect(p.Stop(deployment.GracePeriod)).To(Succeed())
		})
	}

	// Guards against limits that are in force only after a restart of the process.
	It("is not there: a change of the document's limits is in force", specTimeout, func(ctx SpecContext) {
		d := start(ctx)
		gateway := net.JoinHostPort(d.Gateways[0].Machine.IP, roles[0].port)
		control := net.JoinHostPort(d.Coordinators[1].Machine.IP, roles[1].port)
		Expect(roundTrip(ctx, control, document(1_000_000, `{"max-header-bytes":12000,"max-body-bytes":200000}`, 0))).To(Equal(http.StatusOK))
		status := func(request []byte) func() (int, error) {
			return func() (int, error) { return roundTrip(ctx, gateway, request) }
		}
		Eventually(ctx, status(largestBody())).WithTimeout(answerTimeout).Should(Equal(http.StatusRequestEntityTooLarge))
		Eventually(ctx, status(largestHead())).WithTimeout(answerTimeout).Should(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(roundTrip(ctx, control, document(1_000_001, `{"max-header-bytes":16384,"max-body-bytes":262144}`, 0))).To(Equal(http.StatusOK))
		Eventually(ctx, status(largestBody())).WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
		Eventually(ctx, status(largestHead())).WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	})

	// Guards against a budget that the largest document does not fit into.
	It("is not there: a document of 8 MiB is served", specTimeout, func(ctx SpecContext) {
		d := startWith(ctx, coordinatorMB)
		p := d.Coordinators[1]
		control := net.JoinHostPort(p.Machine.IP, roles[1].port)
		Expect(roundTrip(ctx, control, document(1_000_000, `{}`, maxDocument))).To(Equal(http.StatusOK))
		Expect(d.DocumentVersion(ctx, p)).To(BeEquivalentTo(1_000_000))
		Expect(peakResidentKB(p.PID())).To(BeNumerically("<=", residentShare*coordinatorMB*1024))
	})

	// Guards against limits that refuse a single request of the largest legal size.
	It("is not there: bodies and heads of exactly the limit are served", specTimeout, func(ctx SpecContext) {
		d := start(ctx)
		address := net.JoinHostPort(d.Gateways[0].Machine.IP, roles[0].port)
		for _, request := range [][]byte{largestBody(), largestHead()} {
			Expect(roundTrip(ctx, address, request)).To(Equal(http.StatusOK))
		}
	})
})
