package integration

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/claims"
	"hawthornshore.example/emulator"
	"hawthornshore.example/integration/faultproxy"
	"hawthornshore.example/structs"
)

// Programs are the paths of the built programs.
type Programs struct {
	Daemon string
	Target string
}

// DataCentre is the data centre of all instances, targets and jobs of a Cluster.
const DataCentre = "north"

// systemConfig is the initial system configuration of the instances.
const systemConfig = `[class.urgent]
rank = 0
[class.relaxed]
rank = 1
[tenant.desk]
weight = 1
`

// Cluster is a set of instance and target processes in one data centre.
type Cluster struct {
	Instances map[string]*Instance
	Targets   map[string]*Target
	programs  Programs
	dir       string
	names     []string // of the instances
}

// NewCluster configures entry instances with the given names, without starting
// them. Their files are kept in dir.
func NewCluster(programs Programs, dir string, names ...string) (*Cluster, error) {
	c := &Cluster{
		Instances: make(map[string]*Instance),
		Targets:   make(map[string]*Target),
		programs:  programs,
		dir:       dir,
		names:     names,
	}
	if err := c.writeFile("config/10-system.ini", systemConfig); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(2 * len(names))
	if err != nil {
		return nil, err
	}
	for i, name := range names {
		c.Instances[name] = &Instance{Name: name, HTTP: addresses[2*i], Link: addresses[2*i+1], cluster: c}
	}
	for _, name := range names {
		if err := c.writeSettings(c.Instances[name]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// writeSettings puts a proxy in front of the link address of every peer and writes
// the instance's settings, which have the proxies' addresses.
func (c *Cluster) writeSettings(i *Instance) error {
	i.PeerProxies = make(map[string]*faultproxy.Proxy)
	var text strings.Builder
	fmt.Fprintf(&text, "[instance]\nname = %s\ndata_centre = %s\nlisten_http = %s\nlisten_link = %s\ndata_folder = %s\nlog_level = debug\n",
		i.Name, DataCentre, i.HTTP, i.Link, filepath.Join(c.dir, "data-"+i.Name))
	for _, peer := range c.names {
		if peer == i.Name {
			continue
		}
		proxy, err := faultproxy.New(c.Instances[peer].Link)
		if err != nil {
			return errors.Trace(err)
		}
		i.PeerProxies[peer] = proxy
		fmt.Fprintf(&text, "[peer.%s]\nlink = %s\ndata_centre = %s\nvoter = true\n", peer, proxy.Address(), DataCentre)
	}
	return c.writeFile("settings-"+i.Name+"/10-instance.ini", text.String())
}

func (c *Cluster) writeFile(name, text string) error {
	path := filepath.Join(c.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, []byte(text), 0o644))
}

// httpAddresses returns the HTTP addresses of all instances.
func (c *Cluster) httpAddresses() []string {
	var addresses []string
	for _, name := range c.names {
		addresses = append(addresses, c.Instances[name].HTTP)
	}
	return addresses
}

// Owner returns the instance that owns a job ID.
func (c *Cluster) Owner(id structs.JobID) *Instance {
	return c.Instances[claims.Owner(c.names, claims.Partition(id))]
}

// Other returns an instance other than the given one, or the given one if it is the
// only instance.
func (c *Cluster) Other(instance *Instance) *Instance {
	for _, name := range c.names {
		if name != instance.Name {
			return c.Instances[name]
		}
	}
	return instance
}

// warmUpInterval is the time between two readiness checks or warm-up jobs.
const warmUpInterval = 50 * time.Millisecond

// WarmUp waits until every instance is ready and has completed a job as its
// owner, so that all instances have discovered targets and slots.
func (c *Cluster) WarmUp(ctx context.Context) error {
	for _, name := range c.names {
		instance := c.Instances[name]
		if err := instance.waitReady(ctx); err != nil {
			return err
		}
		for {
			job := c.NewJob(instance, time.Second, Work{RunMS: 1})
			answer, err := instance.Submit(ctx, job)
			if err == nil && answer.Outcome == structs.OutcomeComplete {
				break
			}
			if err := sleep(ctx, warmUpInterval); err != nil {
				return errors.Annotatef(err, "warming up %s, last answer %+v", name, answer)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Starts returns the lines of all start records.
func (c *Cluster) Starts() ([]emulator.StartLine, error) {
	var all []emulator.StartLine
	for _, target := range c.Targets {
		lines, err := target.Starts()
		if err != nil {
			return nil, errors.Trace(err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// WaitStarts waits until the start records hold at least count starts of a job.
func (c *Cluster) WaitStarts(ctx context.Context, id structs.JobID, count int) error {
	for {
		lines, err := c.Starts()
		if err != nil {
			return errors.Trace(err)
		}
		started := 0
		for _, line := range lines {
			if line.JobID == id.String() {
				started++
			}
		}
		if started >= count {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return errors.Annotatef(err, "%d of %d starts of job %s", started, count, id)
		}
	}
}

// Close kills all processes: instances first, so that they send no start to a
// target that has exited.
func (c *Cluster) Close() {
	for _, instance := range c.Instances {
		instance.process.KillIfRunning()
		for _, proxy := range instance.PeerProxies {
			proxy.Close()
		}
	}
	for _, target := range c.Targets {
		target.process.KillIfRunning()
		target.Proxy.Close()
	}
}

// Logs returns the tails of all logs, for the report of a failed test.
func (c *Cluster) Logs() string {
	const tail = 6000 // bytes per log
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		fmt.Fprintf(&text, "== %s\n%s\n", filepath.Base(path), data[max(0, len(data)-tail):])
	}
	return text.String()
}
