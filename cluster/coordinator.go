package cluster

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/cluster/admission"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/jobtable/homes"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// CoordinatorOptions configure a Coordinator.
type CoordinatorOptions struct {
	Name                       string // IP address, which is also the host of its link listener
	DataCentre                 string
	Listener                   net.Listener // for links
	LinkPort                   int          // of all coordinators
	Seeds                      []string     // names of the initial coordinators
	DataFolder                 string
	JobRetention               time.Duration // how long stored jobs are kept after their end
	TolerableCoordinatorLosses int           // coordinators that may be lost at once
	TolerateDataCentreLoss     bool          // all coordinators of a data centre may be lost at once
	AllowBootstrap             bool          // first start of the whole system, and among the seeds
	Placement                  placement.Options
	Evacuation                 EvacuationOptions
	Targets                    Targets
	Logger                     zerolog.Logger
	RequestLogger              zerolog.Logger // as in GatewayOptions
	// Decode parses the operators' document.
	Decode func(body []byte) (*Deployment, error)
	// HeartbeatAddress returns where a coordinator accepts targets' heartbeats.
	HeartbeatAddress func(coordinator string) string
}

// Coordinator is a running coordinator.
type Coordinator struct {
	options  CoordinatorOptions
	mesh     *wire.Mesh
	logNode  *logNode
	loop     *placementLoop
	cache    *targetCache
	recorder *recorder
	// documents serves the document to gateways.
	documents *documentSource
	// confirmNow triggers confirmHome without waiting for its interval.
	confirmNow chan struct{}
	runCtx     context.Context // ends with Run

	evacuations *evacuations
	// evacuationHeld triggers confirmEvacuationsLoop without waiting for its interval.
	evacuationHeld chan struct{}

	ownersMu   sync.Mutex
	owners     *homes.Watch    // of coordinators as owners of targets
	lostOwners map[string]bool // their names, as logged last
	// queues is the newest document for the placement core, until its loop takes it.
	queues atomic.Pointer[placement.QueuesChanged]

	decodedMu sync.Mutex
	decoded   *Deployment // newest document that was decoded

	gateMu sync.Mutex
	gate   *admission.Gate // of stored jobs

	mu        sync.Mutex
	document  Document
	services  map[string]bool   // of the document; nil before the first one
	limits    Limits            // of the document
	directory map[string]string // data centre by coordinator; empty if unknown
	linked    map[string]peerState
	// rejectedAt is when a heartbeat of a target was last rejected.
	rejectedAt map[string]time.Time
	// maxCoordinatorsPerDataCentre counts those linked at once; it never decreases.
	maxCoordinatorsPerDataCentre int
	draining                     bool
}

// peerState describes the instance at the other end of a link.
type peerState struct {
	coordinator bool
	dataCentre  string
	home        string // its process, as a home of stored jobs
	draining    bool
	// reportsLogReads is set for coordinators whose heartbeats report their newest read of
	// the log; earlier versions do not.
	reportsLogReads bool
	hasReadLog      bool
	logReadAt       time.Duration // when that read began, at the latest; boottimeNow
	// knowsRunRanges is set for coordinators that apply the run ranges of log entries.
	knowsRunRanges bool
	// requestsDocuments is set for gateways that fetch the document; the fields below
	// are for the others, of earlier versions.
	requestsDocuments bool
	documentVersion   uint64    // in its last heartbeat
	pushedVersion     uint64    // of the document last sent to it
	pushedAt          time.Time // when it was sent
}

// NewCoordinator returns a coordinator that is started by Run.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	c := &Coordinator{
		options:   options,
		directory: map[string]string{options.Name: options.DataCentre},
		linked:    map[string]peerState{},

		owners:     homes.NewWatch(homes.OwnerLostAfter),
		gate:       admission.NewGate(),
		rejectedAt: map[string]time.Time{},
		confirmNow: make(chan struct{}, 1),
		runCtx:     context.Background(),

		evacuationHeld: make(chan struct{}, 1),
	}
	hello := newHello(options.Name, options.DataCentre)
	hello.Voter, hello.ReportsLogReads, hello.ChecksStepLimits, hello.KnowsRunRanges = true, true, true, true
	c.options.Placement.Home = homeName(hello)
	c.options.Placement.FirstRef = firstRef()
	c.logNode = &logNode{
		coordinator: c, store: newStateStore(options.JobRetention, c.storedQueues), progress: newLogProgress(), applied: make(chan struct{}, 1),
	}
	c.evacuations = newEvacuations(options.Evacuation, c.logNode.store, boottimeNow())
	c.logNode.catchUp.read = c.logNode.readBarrier
	c.loop = newPlacementLoop(c)
	c.cache = newTargetCache(options.DataFolder, options.Logger)
	c.recorder = newRecorder(c)
	c.documents = newDocumentSource(c)
	c.mesh = newMesh(hello, options.Listener, c)
	return c
}

// Run runs the coordinator until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c.runCtx = ctx
	c.addCoordinators(c.options.Seeds)
	if targets := c.cache.load(); len(targets) > 0 {
		c.loop.push(placement.TargetsRestored{Targets: targets})
	}
	group.Go(func() error { return c.cache.run(ctx) })
	group.Go(func() error { return c.mesh.Run(ctx) })
	group.Go(func() error { return c.loop.run(ctx) })
	group.Go(func() error { return c.logNode.run(ctx) })
	group.Go(func() error { return c.logNode.publishLoop(ctx) })
	group.Go(func() error { return c.recorder.run(ctx) })
	group.Go(func() error { return c.confirmHomeLoop(ctx) })
	group.Go(func() error { return c.watchCoordinatorsLoop(ctx) })
	group.Go(func() error { return c.confirmEvacuationsLoop(ctx) })
	return group.Wait()
}

// dialDelay is the pause of the coordinator with the larger name before it
// dials; the other one may not have it in its directory yet.
const dialDelay = 400 * time.Millisecond

// addCoordinators adds coordinators to the directory and dials them. Of two, the
// one with the smaller name dials first.
func (c *Coordinator) addCoordinators(names []string) {
	for _, name := range names {
		c.mu.Lock()
		_, exists := c.directory[name]
		if !exists {
			c.directory[name] = ""
		}
		c.mu.Unlock()
		if exists {
			continue
		}
		peer := linkPeer(name, c.options.LinkPort)
		if c.options.Name > name {
			peer.DialDelay = dialDelay
		}
		c.mesh.Dial(peer)
	}
}

// AddSeeds adds the coordinators of reloaded settings.
func (c *Coordinator) AddSeeds(names []string) { c.addCoordinators(names) }

// Drain hands over the leadership, the targets and the open jobs, or returns
// when the context ends.
func (c *Coordinator) Drain(ctx context.Context) {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.moveOwnJobs(ctx)
	if err := c.logNode.transferLeadership(ctx); err != nil {
		c.options.Logger.Warn().Str("event", "resign_failed").Err(err).Send()
	}
	c.loop.push(placement.Drain{})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	retry := time.NewTicker(homeCheckInterval)
	defer retry.Stop()
	for !c.loop.idle() {
		select {
		case <-ticker.C:
		case <-retry.C:
			c.moveOwnJobs(ctx) // no other coordinator may have been fit before
		case <-ctx.Done():
			return
		}
	}
}

// moveOwnJobs moves the stored jobs of this coordinator to another one.
func (c *Coordinator) moveOwnJobs(ctx context.Context) {
	home := c.options.Placement.Home
	if c.logNode.store.openJobs(home) == 0 {
		return
	}
	if err := c.moveHome(ctx, home); err != nil {
		c.options.Logger.Warn().Str("event", "home_not_moved").Str("home", home).Err(err).Send()
	}
}

// drainPollInterval is how often Drain checks whether the core is idle.
const drainPollInterval = 50 * time.Millisecond

// desiredVoters returns how many voters the tolerated losses require. It does
// not fall when coordinators are lost.
func (c *Coordinator) desiredVoters() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	centres := map[string]int{c.options.DataCentre: 1}
	for _, state := range c.linked {
		if state.coordinator {
			centres[state.dataCentre]++
		}
	}
	for _, count := range centres {
		c.maxCoordinatorsPerDataCentre = max(c.maxCoordinatorsPerDataCentre, count)
	}
	losses := max(c.options.TolerableCoordinatorLosses, 1)
	if c.options.TolerateDataCentreLoss {
		losses = max(losses, c.maxCoordinatorsPerDataCentre)
	}
	return 2*losses + 1
}

// Document returns the newest document applied by this coordinator.
func (c *Coordinator) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// ReplaceDocument stores a document unless it or a newer one is stored.
func (c *Coordinator) ReplaceDocument(ctx context.Context, document Document) error {
	if c.logNode.store.currentDocument().Version >= document.Version {
		return nil
	}
	err := c.logNode.replaceDocument(ctx, document)
	c.options.Logger.Info().Str("event", "document_change").Uint64("version", document.Version).
		Int("bytes", len(document.Body)).Err(err).Send()
	return errors.Trace(err)
}

// ReadDocument returns the newest acknowledged document.
func (c *Coordinator) ReadDocument(ctx context.Context) (Document, error) {
	return c.logNode.readDocument(ctx, false)
}

// Limits returns the limits of the document in force.
func (c *Coordinator) Limits() Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// applyDocument applies a newer document and announces it to the gateways.
func (c *Coordinator) applyDocument(document Document) {
	if document.Version <= c.Document().Version {
		return
	}
	deployment, err := c.decode(document)
	if err == nil {
		err = c.documents.set(&document)
	}
	if err != nil {
		c.options.Logger.Error().Str("event", "document_unreadable").Uint64("version", document.Version).Err(err).Send()
		return
	}
	c.mu.Lock()
	if document.Version <= c.document.Version {
		c.mu.Unlock()
		return
	}
	c.document, c.services, c.limits = document, deployment.Services, deployment.Limits
	c.mu.Unlock()
	c.queues.Store(deployment.placementQueues())
	c.loop.push(placement.Tick{}) // wakes the loop, which passes the queues to the core
	delay := c.logNode.store.documentSyncDelay()
	observeDocument(document.Version, delay)
	c.options.Logger.Info().Str("event", "document_adopted").Uint64("version", document.Version).
		Int("bytes", len(document.Body)).Int64("behind_ms", ms(delay)).Send()
	c.documents.announce(document.Version)
}

// decode returns a document in decoded form; the result must not be modified.
func (c *Coordinator) decode(document Document) (*Deployment, error) {
	c.decodedMu.Lock()
	defer c.decodedMu.Unlock()
	if c.decoded != nil && c.decoded.Version == document.Version {
		return c.decoded, nil
	}
	deployment, err := c.options.Decode(document.Body)
	if err != nil {
		return nil, errors.Annotatef(err, "decode document %d", document.Version)
	}
	c.decoded = deployment
	return deployment, nil
}

// storedQueues returns the queues of a document for the table of stored jobs.
func (c *Coordinator) storedQueues(document Document) (jobtable.Queues, bool) {
	deployment, err := c.decode(document)
	if err != nil {
		c.options.Logger.Error().Str("event", "document_unreadable").Uint64("version", document.Version).Err(err).Send()
		return jobtable.Queues{}, false
	}
	return deployment.storedQueues(), true
}

// send queues a one-way message and reports whether it was queued. The message is
// lost if the link fails (see LinkDown) or its send queue is full.
func (c *Coordinator) send(peer string, message *wire.Envelope) bool {
	err := c.mesh.Send(peer, message)
	if err != nil && !errors.Is(err, wire.ErrNoLink) {
		c.options.RequestLogger.Warn().Str("event", "send_failed").Str("peer", peer).Err(err).Send()
	}
	return err == nil
}
