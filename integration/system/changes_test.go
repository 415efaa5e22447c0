package system

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

// changer applies changes that each set one tenant in the configuration in force,
// so that the last version contains all acknowledged changes unless one was lost.
type changer struct {
	cluster      *cluster
	acknowledged map[string]change // last change, by tenant
	newest       uint64            // newest acknowledged version
}

// change is an acknowledged change of a tenant's weight.
type change struct {
	version   uint64
	weight    float64
	operation string
}

func newChanger(cluster *cluster) *changer {
	return &changer{cluster: cluster, acknowledged: make(map[string]change)}
}

func (c *changer) acknowledge(tenant string, version uint64, sent operatorapi.ApplyRequest) {
	GinkgoHelper()
	Expect(version).To(BeNumerically(">", c.newest), "version of an acknowledged change")
	c.acknowledged[tenant] = change{version, sent.Tenants[tenant].Weight, sent.OperationID}
	c.newest = version
}

// request returns a request that sets a tenant in a configuration.
func request(base structs.SystemConfig, tenant string, weight float64, operator string) operatorapi.ApplyRequest {
	tenants := maps.Clone(base.Tenants)
	tenants[tenant] = structs.Tenant{Name: tenant, Weight: weight}
	return operatorapi.ApplyRequest{
		ExpectedVersion: base.Version,
		OperationID:     "op-" + tenant,
		Operator:        operator,
		Classes:         base.Classes,
		Tenants:         tenants,
	}
}

// change applies a change through the given instances, the next one after each
// failed request, until one acknowledges it. A retry has the same operation ID.
func (c *changer) change(via ...string) {
	GinkgoHelper()
	tenant := fmt.Sprintf("t%d", len(c.acknowledged))
	var sent *operatorapi.ApplyRequest
	tries := 0
	Eventually(func() error {
		at := via[tries%len(via)]
		tries++
		if sent == nil {
			base, err := c.cluster.config(at)
			if err != nil {
				return err
			}
			if base.Config.Version < max(c.newest, 1) {
				return fmt.Errorf("%s has version %d, %d was acknowledged", at, base.Config.Version, c.newest)
			}
			next := request(base.Config, tenant, 1, "operator-"+at)
			next.OperationID += fmt.Sprintf("-%d", tries)
			sent = &next
		}
		reply, err := c.cluster.apply(at, *sent)
		if err != nil {
			return err
		}
		if reply.Result == operatorapi.ApplyConflict {
			sent = nil
			return fmt.Errorf("conflict with %+v", reply.Conflict)
		}
		c.acknowledge(tenant, reply.Version, *sent)
		return nil
	}, 2*inForceTimeout).Should(Succeed(), "change through %v", via)
}

// burstTenants is the number of tenants that a burst changes in turn: enough for
// the log of 500 changes to reach the size that triggers a snapshot.
const burstTenants = 300

// burst applies many changes through the given instances in turn, each based on
// the previous one. All but the first instance may lag behind.
func (c *changer) burst(count int, through ...string) {
	GinkgoHelper()
	base, err := c.cluster.config(through[0])
	Expect(err).NotTo(HaveOccurred())
	for n := range count {
		via := through[n%len(through)]
		tenant, weight := fmt.Sprintf("b%d", n%burstTenants), float64(n+1)
		next := request(base.Config, tenant, weight, "operator-"+via)
		next.OperationID += fmt.Sprintf("-%d", n)
		var reply operatorapi.ApplyReply
		Eventually(func() (err error) {
			reply, err = c.cluster.apply(via, next)
			return err
		}, inForceTimeout).Should(Succeed(), "change %d through %s", n, via)
		Expect(reply.Result).To(Equal(operatorapi.ApplyApplied))
		base.Config.Version, base.Config.Tenants = reply.Version, next.Tenants
		c.acknowledge(tenant, reply.Version, next)
	}
}

// expectInForce waits until all acknowledged changes are in force at the given
// instances.
func (c *changer) expectInForce(names ...string) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(func() error {
			config, err := c.cluster.config(name)
			if err != nil {
				return err
			}
			return c.missing(config.Config)
		}, inForceTimeout).Should(Succeed(), "configuration of %s", name)
	}
}

// missing returns an error if a configuration lacks an acknowledged change.
func (c *changer) missing(config structs.SystemConfig) error {
	if config.Version < c.newest {
		return fmt.Errorf("version %d is older than %d", config.Version, c.newest)
	}
	for tenant, change := range c.acknowledged {
		if config.Tenants[tenant].Weight != change.weight {
			return fmt.Errorf("version %d lacks weight %v of %s, acknowledged as version %d",
				config.Version, change.weight, tenant, change.version)
		}
	}
	return nil
}

// watcher polls the versions that instances report, also across restarts, and
// records each report of an older version than before.
type watcher struct {
	cluster *cluster
	stop    context.CancelFunc
	pollers sync.WaitGroup

	mu          sync.Mutex
	newest      map[string]uint64
	reports     map[string]int
	regressions []string
}

// watchInterval is the time between two polls of an instance.
const watchInterval = 50 * time.Millisecond

func watch(cluster *cluster) *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{cluster: cluster, stop: stop, newest: make(map[string]uint64), reports: make(map[string]int)}
	for _, name := range cluster.names {
		w.pollers.Go(func() { w.poll(ctx, name) })
	}
	DeferCleanup(w.close)
	return w
}

func (w *watcher) close() {
	w.stop()
	w.pollers.Wait()
}

func (w *watcher) poll(ctx context.Context, name string) {
	for ctx.Err() == nil {
		var status operatorapi.Status
		if code, _ := call(http.MethodGet, w.cluster.instances[name].http(), operatorapi.PathStatus, nil, &status); code == http.StatusOK {
			w.record(name, "status", status.ConfigVersion, status.State == operatorapi.InstanceReady)
		}
		if config, err := w.cluster.config(name); err == nil {
			w.record(name, "config", config.Config.Version, false)
		}
		time.Sleep(watchInterval)
	}
}

// record compares a report with earlier ones. A restarted instance may report
// that it has no version yet, unless it is ready.
func (w *watcher) record(name, call string, version uint64, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports[name]++
	if before := w.newest[name]; version < before && (version > 0 || ready) {
		w.regressions = append(w.regressions, fmt.Sprintf("%s reported version %d in %s after %d", name, version, call, before))
	}
	w.newest[name] = max(w.newest[name], version)
}

// expectNoRegressions checks all reports so far.
func (w *watcher) expectNoRegressions() {
	GinkgoHelper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.cluster.names {
		Expect(w.reports[name]).To(BeNumerically(">", 10), "reports of %s", name)
	}
	Expect(w.regressions).To(BeEmpty())
}
