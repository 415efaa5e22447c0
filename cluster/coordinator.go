package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// CoordinatorOptions configure a Coordinator.
type CoordinatorOptions struct {
	Name         string // IP address, which also is the host of its link listener
	DataCentre   string
	Listener     net.Listener // for links
	LinkPort     int          // of all coordinators
	Seeds        []string     // names of the coordinators that are known at the start
	DataFolder   string
	JobRetention time.Duration // how long stored jobs are known after their end
	DiskLosses   int           // coordinators that may be lost at once
	// TolerateDataCentreLoss says that all coordinators of a data centre may be lost at once.
	TolerateDataCentreLoss bool
	AllowBootstrap         bool // first start of the whole system, and among the seeds
	Placement              placement.Options
	Targets                Targets
	Logger                 zerolog.Logger
	// Decode reads the operators' document.
	Decode func(body []byte) (*Deployment, error)
	// HeartbeatAddress returns where a coordinator takes targets' heartbeats.
	HeartbeatAddress func(coordinator string) string
}

// Coordinator is a running coordinator.
type Coordinator struct {
	options CoordinatorOptions
	mesh    *wire.Mesh
	voter   *voter
	loop    *placementLoop
	memory  *targetMemory
	records *recorder
	// confirmNow asks for a confirmed read of the log without delay.
	confirmNow chan struct{}
	lifetime   context.Context // ends with Run

	mu        sync.Mutex
	document  Document
	services  map[string]bool   // of the document; nil before the first one
	directory map[string]string // data centre by coordinator; empty: not known yet
	linked    map[string]peerState
	// turnedAway is when targets were told to try other coordinators first.
	turnedAway map[string]time.Time
	largest    int // most coordinators of one data centre that were linked at once
	draining   bool
}

// peerState is what is known of the instance at the other end of a link.
type peerState struct {
	coordinator bool
	dataCentre  string
	home        string // its process, as a home of stored jobs
	draining    bool
	version     uint64    // of the document that it knows
	pushed      uint64    // version that was sent to it last
	pushedAt    time.Time // and when
}

// NewCoordinator returns a coordinator that starts work in Run.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	c := &Coordinator{
		options:   options,
		directory: map[string]string{options.Name: options.DataCentre},
		linked:    map[string]peerState{},

		turnedAway: map[string]time.Time{},
		confirmNow: make(chan struct{}, 1),
		lifetime:   context.Background(),
	}
	hello := newHello(options.Name, options.DataCentre)
	hello.Voter = true
	c.options.Placement.Home = homeName(hello)
	c.voter = &voter{
		coordinator: c, store: newStateStore(options.JobRetention), progress: newLogProgress(), applied: make(chan struct{}, 1),
	}
	c.loop = newPlacementLoop(c)
	c.memory = newTargetMemory(options.DataFolder, options.Logger)
	c.records = newRecorder(c)
	c.mesh = newMesh(hello, options.Listener, c)
	return c
}

// Run works until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c.lifetime = ctx
	c.learn(c.options.Seeds)
	if known := c.memory.recall(); len(known) > 0 {
		c.loop.push(placement.TargetsRestored{Targets: known})
	}
	group.Go(func() error { return c.memory.run(ctx) })
	group.Go(func() error { return c.mesh.Run(ctx) })
	group.Go(func() error { return c.loop.run(ctx) })
	group.Go(func() error { return c.voter.run(ctx) })
	group.Go(func() error { return c.voter.publishLoop(ctx) })
	group.Go(func() error { return c.records.run(ctx) })
	group.Go(func() error { return c.confirmLoop(ctx) })
	group.Go(func() error { return c.homesLoop(ctx) })
	return group.Wait()
}

// dialPatience is the pause of the coordinator with the larger name before it
// dials; the other one may not know it yet.
const dialPatience = 400 * time.Millisecond

// learn keeps links to further coordinators. Of two, the one with the smaller
// name dials first.
func (c *Coordinator) learn(names []string) {
	for _, name := range names {
		c.mu.Lock()
		_, known := c.directory[name]
		if !known {
			c.directory[name] = ""
		}
		c.mu.Unlock()
		if known {
			continue
		}
		peer := linkPeer(name, c.options.LinkPort)
		if c.options.Name > name {
			peer.DialDelay = dialPatience
		}
		c.mesh.Dial(peer)
	}
}

// AddSeeds makes coordinators known that the settings name now.
func (c *Coordinator) AddSeeds(names []string) { c.learn(names) }

// Drain hands the leadership, the targets and the open jobs over, or returns
// when the context ends.
func (c *Coordinator) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	if c.voter.store.homes()[c.options.Placement.Home] > 0 {
		if err := c.moveHome(ctx, c.options.Placement.Home); err != nil {
			c.options.Logger.Warn().Str("event", "home_not_moved").Str("home", c.options.Placement.Home).Err(err).Send()
		}
	}
	if err := c.voter.resign(ctx); err != nil {
		c.options.Logger.Warn().Str("event", "resign_failed").Err(err).Send()
	}
	c.loop.push(placement.Drain{})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !c.loop.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainPoll is how often a draining coordinator looks whether it is done.
const drainPoll = 50 * time.Millisecond

// wantedVoters returns how many voters bear the losses that are to be borne. It
// does not fall when coordinators are lost.
func (c *Coordinator) wantedVoters() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	centres := map[string]int{c.options.DataCentre: 1}
	for _, state := range c.linked {
		if state.coordinator {
			centres[state.dataCentre]++
		}
	}
	for _, count := range centres {
		c.largest = max(c.largest, count)
	}
	losses := max(c.options.DiskLosses, 1)
	if c.options.TolerateDataCentreLoss {
		losses = max(losses, c.largest)
	}
	return 2*losses + 1
}

// Document returns the newest document that this coordinator knows.
func (c *Coordinator) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// ReplaceDocument stores a document unless it or a newer one is stored.
func (c *Coordinator) ReplaceDocument(ctx context.Context, document Document) error {
	if c.voter.store.current().Version >= document.Version {
		return nil
	}
	err := c.voter.change(ctx, document)
	c.options.Logger.Info().Str("event", "document_change").Uint64("version", document.Version).
		Int("bytes", len(document.Body)).Err(err).Send()
	return errors.Trace(err)
}

// ReadDocument returns the newest acknowledged document.
func (c *Coordinator) ReadDocument(ctx context.Context) (Document, error) {
	return c.voter.read(ctx, false)
}

// adopt takes a newer document and sends it to the gateways nearby. Others ask
// for it with their heartbeats.
func (c *Coordinator) adopt(document Document) {
	if document.Version <= c.Document().Version {
		return
	}
	deployment, err := c.options.Decode(document.Body)
	if err != nil {
		c.options.Logger.Error().Str("event", "document_unreadable").Uint64("version", document.Version).Err(err).Send()
		return
	}
	c.mu.Lock()
	if document.Version <= c.document.Version {
		c.mu.Unlock()
		return
	}
	c.document, c.services = document, deployment.Services
	var nearby []string
	for name, state := range c.linked {
		if !state.coordinator && state.dataCentre == c.options.DataCentre {
			nearby = append(nearby, name)
		}
	}
	c.mu.Unlock()
	c.options.Logger.Info().Str("event", "document_adopted").Uint64("version", document.Version).Send()
	for _, name := range nearby {
		c.pushDocument(name)
	}
}

// pushInterval is the pause before the same version is sent to a gateway again.
const pushInterval = 500 * time.Millisecond

func (c *Coordinator) pushDocument(name string) {
	c.mu.Lock()
	state, ok := c.linked[name]
	document := c.document
	stale := ok && state.version < document.Version &&
		(state.pushed < document.Version || time.Since(state.pushedAt) > pushInterval)
	if stale {
		state.pushed, state.pushedAt = document.Version, time.Now()
		c.linked[name] = state
	}
	c.mu.Unlock()
	if !stale {
		return
	}
	c.send(name, &wire.Envelope{Body: &wire.Envelope_DocumentState{
		DocumentState: &wire.DocumentState{Version: document.Version, Body: document.Body},
	}})
}

// send queues a one-way message. A lost message means a lost link, which is
// reported by LinkDown.
func (c *Coordinator) send(peer string, message *wire.Envelope) {
	if err := c.mesh.Send(peer, message); err != nil && !errors.Is(err, wire.ErrNoLink) {
		c.options.Logger.Warn().Str("event", "send_failed").Str("peer", peer).Err(err).Send()
	}
}
