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

// changer applies changes that each add one tenant to what is in force, so that
// the last version contains all acknowledged ones unless one was lost.
type changer struct {
	fleet        *fleet
	acknowledged map[string]uint64 // version by tenant
	newest       uint64            // newest acknowledged version
}

func newChanger(f *fleet) *changer {
	return &changer{fleet: f, acknowledged: make(map[string]uint64)}
}

// request returns a change that adds a tenant to a configuration.
func request(base structs.SystemConfig, tenant, operator string) operatorapi.ApplyRequest {
	tenants := maps.Clone(base.Tenants)
	tenants[tenant] = structs.Tenant{Name: tenant, Weight: 1}
	return operatorapi.ApplyRequest{
		ExpectedVersion: base.Version,
		OperationID:     "op-" + tenant,
		Operator:        operator,
		Classes:         base.Classes,
		Tenants:         tenants,
	}
}

// change makes a change through the given instances, in turn after lost
// answers, until one acknowledges it. A resend repeats the operation ID.
func (c *changer) change(via ...string) {
	GinkgoHelper()
	tenant := fmt.Sprintf("t%d", len(c.acknowledged))
	var sent *operatorapi.ApplyRequest
	tries := 0
	Eventually(func() error {
		at := via[tries%len(via)]
		tries++
		if sent == nil {
			base, err := c.fleet.config(at)
			if err != nil {
				return err
			}
			if base.Config.Version < max(c.newest, 1) {
				return fmt.Errorf("%s has version %d, %d was acknowledged", at, base.Config.Version, c.newest)
			}
			next := request(base.Config, tenant, "operator-"+at)
			next.OperationID += fmt.Sprintf("-%d", tries)
			sent = &next
		}
		reply, err := c.fleet.apply(at, *sent)
		if err != nil {
			return err
		}
		if reply.Result == operatorapi.ApplyConflict {
			sent = nil
			return fmt.Errorf("conflict with %+v", reply.Conflict)
		}
		Expect(reply.Version).To(BeNumerically(">", c.newest), "version of an acknowledged change")
		c.acknowledged[tenant], c.newest = reply.Version, reply.Version
		return nil
	}, 2*inForceLimit).Should(Succeed(), "change through %v", via)
}

// expectInForce waits until instances run a version with all acknowledged
// changes.
func (c *changer) expectInForce(names ...string) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(func() error {
			config, err := c.fleet.config(name)
			if err != nil {
				return err
			}
			return c.missing(config.Config)
		}, inForceLimit).Should(Succeed(), "configuration of %s", name)
	}
}

// missing says what a configuration lacks of the acknowledged changes.
func (c *changer) missing(config structs.SystemConfig) error {
	if config.Version < c.newest {
		return fmt.Errorf("version %d is older than %d", config.Version, c.newest)
	}
	for tenant, version := range c.acknowledged {
		if _, ok := config.Tenants[tenant]; !ok {
			return fmt.Errorf("version %d lacks %s, acknowledged as version %d", config.Version, tenant, version)
		}
	}
	return nil
}

// watcher polls the versions that instances report, through restarts, and keeps
// each step back.
type watcher struct {
	fleet *fleet
	stop  context.CancelFunc
	tasks sync.WaitGroup

	mu       sync.Mutex
	newest   map[string]uint64
	reports  map[string]int
	backward []string
}

// watchInterval is the pause between two reports of an instance.
const watchInterval = 20 * time.Millisecond

func watch(f *fleet) *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{fleet: f, stop: stop, newest: make(map[string]uint64), reports: make(map[string]int)}
	for _, name := range f.names {
		w.tasks.Go(func() { w.follow(ctx, name) })
	}
	DeferCleanup(w.end)
	return w
}

func (w *watcher) end() {
	w.stop()
	w.tasks.Wait()
}

func (w *watcher) follow(ctx context.Context, name string) {
	for ctx.Err() == nil {
		var status operatorapi.Status
		if code, _ := call(http.MethodGet, w.fleet.instances[name].http(), operatorapi.PathStatus, nil, &status); code == http.StatusOK {
			w.note(name, "status", status.ConfigVersion, status.State == operatorapi.InstanceReady)
		}
		if config, err := w.fleet.config(name); err == nil {
			w.note(name, "config", config.Config.Version, false)
		}
		time.Sleep(watchInterval)
	}
}

// note compares a report with earlier ones. An instance that was restarted may
// report that it has no version yet, unless it is ready.
func (w *watcher) note(name, call string, version uint64, ready bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports[name]++
	if before := w.newest[name]; version < before && (version > 0 || ready) {
		w.backward = append(w.backward, fmt.Sprintf("%s reported version %d in %s after %d", name, version, call, before))
	}
	w.newest[name] = max(w.newest[name], version)
}

// expectNoneBackward ends the watch and checks all reports.
func (w *watcher) expectNoneBackward() {
	GinkgoHelper()
	w.end()
	for _, name := range w.fleet.names {
		Expect(w.reports[name]).To(BeNumerically(">", 10), "reports of %s", name)
	}
	Expect(w.backward).To(BeEmpty())
}
