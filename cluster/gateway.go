package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// GatewayOptions configure a Gateway.
type GatewayOptions struct {
	Name       string // IP address
	DataCentre string
	LinkPort   int      // of all coordinators
	Seeds      []string // names of the initial coordinators
	// Decode parses the operators' document. It fails only for a document that
	// coordinators reject.
	Decode func(body []byte) (*Deployment, error)
	Logger zerolog.Logger
	// RequestLogger writes the lines whose number grows with the load, so that they
	// cannot displace those of Logger.
	RequestLogger zerolog.Logger
}

// Gateway submits callers' jobs to coordinators.
type Gateway struct {
	options   GatewayOptions
	mesh      *wire.Mesh
	documents *documentLoop

	mu           sync.Mutex
	deployment   *Deployment
	coordinators map[string]*linkedCoordinator
	dialled      map[string]bool
	lostAt       map[string]time.Time // when the last link to a coordinator failed
	pending      map[uint64]*pendingJob
	lastRef      uint64
	// unservedSince is when no coordinator was found for a job; zero if the last
	// look-up found one.
	unservedSince time.Time
	notReady      bool
	rejecting     bool
}

// linkedCoordinator is the state of a coordinator with a link.
type linkedCoordinator struct {
	dataCentre string
	draining   bool
	waiting    map[string]int64 // jobs without a started task, by queue
	// acknowledges is set once it has acknowledged a submission; earlier versions
	// do not.
	acknowledges bool
	heardAt      time.Time // last message from it
	// unresponsive is set when a submission was not acknowledged in time or the link
	// is silent, until the next message from the coordinator.
	unresponsive bool
}

// pendingJob is a submitted job without an answer yet.
type pendingJob struct {
	coordinator string
	sentAt      time.Time
	received    bool // acknowledged by the coordinator
	answer      chan Answer
}

// receiptTimeout is how long a coordinator may take to acknowledge a submission
// before further jobs go to others. It is far above a round trip, so that it rarely
// applies to a busy coordinator, and below linkTimeout.
const receiptTimeout = 100 * time.Millisecond

// silenceTimeout is how long a coordinator may send nothing before further jobs go to
// others: two heartbeat intervals and some delay.
const silenceTimeout = 2*linkHeartbeatInterval + 50*time.Millisecond

// Answer is the outcome of a job for its caller.
type Answer struct {
	Outcome     placement.Outcome
	Reason      string
	RetryAfter  time.Duration // for placement.NotRun
	Coordinator string        // coordinator of the last submission; empty: none
}

// notRunRetryDelay is the RetryAfter of unsupported requests, and of jobs while
// no coordinator is linked; a new link takes about that long.
const notRunRetryDelay = time.Second

// NewGateway returns a gateway that is started by Run.
func NewGateway(options GatewayOptions) *Gateway {
	g := &Gateway{
		options:      options,
		coordinators: map[string]*linkedCoordinator{},
		dialled:      map[string]bool{},
		lostAt:       map[string]time.Time{},
		pending:      map[uint64]*pendingJob{},
		lastRef:      firstRef(),
	}
	g.documents = newDocumentLoop(g)
	hello := newHello(options.Name, options.DataCentre)
	hello.RequestsDocuments = true
	g.mesh = newMesh(hello, nil, g)
	return g
}

// Run runs the gateway until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.addCoordinators(g.options.Seeds)
	group.Go(func() error { return g.mesh.Run(ctx) })
	group.Go(func() error { return g.documents.run(ctx) })
	return group.Wait()
}

func (g *Gateway) addCoordinators(names []string) {
	for _, name := range names {
		g.mu.Lock()
		dialled := g.dialled[name]
		g.dialled[name] = true
		g.mu.Unlock()
		if !dialled {
			g.mesh.Dial(linkPeer(name, g.options.LinkPort))
		}
	}
}

// AddSeeds adds the coordinators of reloaded settings.
func (g *Gateway) AddSeeds(names []string) { g.addCoordinators(names) }

// Ready reports whether the gateway can serve callers' requests.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.notReady && g.deployment != nil && len(g.coordinators) > 0
}

// MarkNotReady makes Ready return false.
func (g *Gateway) MarkNotReady() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notReady = true
}

// RejectJobs makes the gateway reject new jobs. It is called after MarkNotReady.
func (g *Gateway) RejectJobs() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejecting = true
}

// Deployment returns the applied operators' document, or nil.
func (g *Gateway) Deployment() *Deployment {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deployment
}

// Limits returns the limits of the document in force.
func (g *Gateway) Limits() Limits {
	if deployment := g.Deployment(); deployment != nil {
		return deployment.Limits
	}
	return Limits{}
}

// WaitingJobs returns the number of jobs of a queue without a started task.
func (g *Gateway) WaitingJobs(queue string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var count int64
	for _, c := range g.coordinators {
		count += c.waiting[queue]
	}
	return count
}

// InFlight returns the number of jobs without an answer yet.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// Submit submits a job to a coordinator and returns its answer. The job is
// withdrawn when the context ends.
func (g *Gateway) Submit(ctx context.Context, request *JobRequest) Answer {
	if reason := request.unsupported(); reason != "" {
		return Answer{Outcome: placement.NotRun, Reason: reason, RetryAfter: notRunRetryDelay}
	}
	begin := time.Now()
	answer := g.submit(ctx, &request.Job)
	observeAnswer(request.Queue, answer.Outcome, time.Since(begin))
	g.options.RequestLogger.Info().Str("event", "request_answered").Str("job", request.ID).Str("queue", request.Queue).
		Str("outcome", answer.Outcome.String()).Str("home", answer.Coordinator).Str("reason", answer.Reason).
		Int64("took_ms", time.Since(begin).Milliseconds()).Int64("budget_ms", ms(request.Budget)).Send()
	return answer
}

func (g *Gateway) submit(ctx context.Context, job *placement.Job) Answer {
	answer := Answer{Outcome: placement.NotRun, Reason: "no coordinator responds", RetryAfter: notRunRetryDelay}
	g.mu.Lock()
	rejecting := g.rejecting
	g.mu.Unlock()
	if rejecting {
		return Answer{Outcome: placement.NotRun, Reason: "gateway is stopping", RetryAfter: time.Second}
	}
	for _, name := range g.awaitCoordinators(ctx, job.StartTimeout()) {
		answer = g.submitTo(ctx, name, job)
		answer.Coordinator = name
		if answer.Outcome != placement.NotRun || answer.RetryAfter > placement.RetryElsewhere {
			break
		}
	}
	if answer.Outcome == placement.NotRun && answer.RetryAfter <= placement.RetryElsewhere {
		answer.RetryAfter = notRunRetryDelay // no other coordinator is left to try
	}
	return answer
}

// linkPollInterval is how often a request without a link checks for one.
const linkPollInterval = 10 * time.Millisecond

// outageGrace is how long after the loss of all coordinators jobs wait for one. A link
// that was reset is up again sooner; after that the coordinators are down, for longer
// than most jobs can wait.
const outageGrace = 250 * time.Millisecond

// awaitCoordinators returns submitOrder once it is not empty, the limit passes, or the
// outage of all coordinators has lasted for outageGrace.
func (g *Gateway) awaitCoordinators(ctx context.Context, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	for {
		names := g.submitOrder()
		if len(names) > 0 || !time.Now().Before(deadline) || g.outage() > outageGrace {
			return names
		}
		select {
		case <-time.After(linkPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// submitOrder returns the linked coordinators that respond, in the order of
// submission attempts: those of this data centre first, each group by rendezvous
// hashing.
func (g *Gateway) submitOrder() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markUnresponsive()
	var local, remote []string
	for name, c := range g.coordinators {
		switch {
		case c.draining, c.unresponsive:
		case c.dataCentre == g.options.DataCentre:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	g.recordOutage(len(local)+len(remote) == 0)
	return append(sortByWeight(g.options.Name, local), sortByWeight(g.options.Name, remote)...)
}

// recordOutage records whether no coordinator responds. The caller holds the lock.
func (g *Gateway) recordOutage(none bool) {
	switch {
	case !none:
		g.unservedSince = time.Time{}
	case g.unservedSince.IsZero():
		g.unservedSince = time.Now()
	}
}

// outage returns for how long no coordinator has responded.
func (g *Gateway) outage() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unservedSince.IsZero() {
		return 0
	}
	return time.Since(g.unservedSince)
}

// markUnresponsive marks the coordinators that have not acknowledged a submission in
// time, or have sent nothing for silenceTimeout. The caller holds the lock.
func (g *Gateway) markUnresponsive() {
	for name, c := range g.coordinators {
		if silence := time.Since(c.heardAt); silence > silenceTimeout {
			g.passOver(name, c, silence)
		}
	}
	for _, p := range g.pending {
		c := g.coordinators[p.coordinator]
		if c == nil || !c.acknowledges || p.received {
			continue
		}
		if delay := time.Since(p.sentAt); delay > receiptTimeout {
			g.passOver(p.coordinator, c, delay)
		}
	}
}

// passOver keeps new jobs from a coordinator until its next message. The caller holds
// the lock.
func (g *Gateway) passOver(name string, c *linkedCoordinator, after time.Duration) {
	if !c.unresponsive {
		c.unresponsive = true
		g.options.RequestLogger.Warn().Str("event", "coordinator_unresponsive").Str("peer", name).Int64("after_ms", ms(after)).Send()
	}
}

func (g *Gateway) submitTo(ctx context.Context, name string, job *placement.Job) Answer {
	p := &pendingJob{coordinator: name, sentAt: time.Now(), answer: make(chan Answer, 1)}
	g.mu.Lock()
	g.lastRef++
	ref := g.lastRef
	g.pending[ref] = p
	g.mu.Unlock()
	defer g.removePending(ref)
	err := g.mesh.Send(name, &wire.Envelope{Body: &wire.Envelope_Submission{Submission: jobToWire(ref, job)}})
	if err != nil {
		// Nothing was sent, so the job may be submitted to another coordinator.
		return Answer{Outcome: placement.NotRun, Reason: err.Error()}
	}
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
		if err := g.mesh.Send(name, &wire.Envelope{Body: &wire.Envelope_Withdrawal{Withdrawal: &wire.Withdrawal{Ref: ref}}}); err != nil {
			g.options.RequestLogger.Warn().Str("event", "withdrawal_lost").Str("job", job.ID).Str("peer", name).Err(err).Send()
		}
		return Answer{Outcome: placement.Aborted, Reason: "caller has left"}
	}
}

func (g *Gateway) removePending(ref uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, ref)
}

// HandleMessage processes a one-way message from a coordinator.
func (g *Gateway) HandleMessage(hello *wire.Hello, message *wire.Envelope) {
	g.markResponsive(hello.GetInstance())
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		g.mu.Lock()
		if c := g.coordinators[hello.GetInstance()]; c != nil {
			c.draining = body.Heartbeat.GetDraining()
		}
		g.mu.Unlock()
		g.pushDocumentEvent(hello, documentEvent{announced: body.Heartbeat.GetConfigVersion()})
	case *wire.Envelope_RoomUpdate:
		g.mu.Lock()
		if c := g.coordinators[hello.GetInstance()]; c != nil {
			c.waiting = body.RoomUpdate.GetWaiting()
		}
		g.mu.Unlock()
	case *wire.Envelope_Directory:
		g.addCoordinators(directoryNames(body.Directory))
	case *wire.Envelope_DocumentState:
		g.pushDocumentEvent(hello, documentEvent{pushed: body.DocumentState})
	case *wire.Envelope_DocumentAnnouncement:
		g.pushDocumentEvent(hello, documentEvent{announced: body.DocumentAnnouncement.GetVersion()})
	case *wire.Envelope_DocumentPiece:
		g.pushDocumentEvent(hello, documentEvent{piece: body.DocumentPiece})
	case *wire.Envelope_SubmissionReceived:
		g.submissionReceived(hello.GetInstance(), body.SubmissionReceived.GetRef())
	case *wire.Envelope_SubmissionAnswer:
		g.deliverAnswer(body.SubmissionAnswer)
	}
}

// pushDocumentEvent passes an event of a coordinator to the document loop.
func (g *Gateway) pushDocumentEvent(hello *wire.Hello, event documentEvent) {
	event.peer, event.local = hello.GetInstance(), hello.GetDataCentre() == g.options.DataCentre
	g.documents.push(event)
}

// markResponsive records that a coordinator has sent a message. Its pending jobs get
// the full time for their acknowledgement again.
func (g *Gateway) markResponsive(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.coordinators[name]
	if c == nil {
		return
	}
	c.heardAt = time.Now()
	if !c.unresponsive {
		return
	}
	c.unresponsive = false
	g.unservedSince = time.Time{}
	for _, p := range g.pending {
		if p.coordinator == name {
			p.sentAt = time.Now()
		}
	}
}

func (g *Gateway) submissionReceived(name string, ref uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.coordinators[name]; c != nil {
		c.acknowledges = true
	}
	if p := g.pending[ref]; p != nil {
		p.received = true
	}
}

func (g *Gateway) deliverAnswer(message *wire.SubmissionAnswer) {
	g.mu.Lock()
	p := g.pending[message.GetRef()]
	delete(g.pending, message.GetRef())
	g.mu.Unlock()
	if p == nil {
		return
	}
	p.answer <- Answer{
		Outcome:    placement.Outcome(message.GetOutcome()),
		Reason:     message.GetReason(),
		RetryAfter: fromMS(message.GetRetryAfterMs()),
	}
}

// applyDocument makes the gateway obey a document and returns its decoded form, or nil
// if it obeys that or a newer one, or cannot read it.
func (g *Gateway) applyDocument(document *Document) *Deployment {
	if held := g.Deployment(); held != nil && held.Version >= document.Version {
		return nil
	}
	deployment, err := g.options.Decode(document.Body)
	if err != nil {
		g.options.Logger.Error().Str("event", "document_unreadable").Uint64("version", document.Version).Err(err).Send()
		return nil
	}
	deployment.SortQueues()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deployment = deployment
	return deployment
}

// HandleCall returns an error: a gateway serves no calls.
func (g *Gateway) HandleCall(_ context.Context, _ string, request *wire.Envelope) (*wire.Envelope, error) {
	return nil, errors.NotSupportedf("request %T", request.GetBody())
}

// LinkUp adds a linked coordinator.
func (g *Gateway) LinkUp(hello *wire.Hello) {
	g.mu.Lock()
	g.coordinators[hello.GetInstance()] = &linkedCoordinator{dataCentre: hello.GetDataCentre(), heardAt: time.Now()}
	g.unservedSince = time.Time{}
	g.mu.Unlock()
	g.options.Logger.Info().Str("event", "link_up").Str("peer", hello.GetInstance()).Send()
}

// LinkDown answers the pending jobs of the coordinator, which aborts them too.
func (g *Gateway) LinkDown(peer string, cause error) {
	g.mu.Lock()
	delete(g.coordinators, peer)
	g.lostAt[peer] = time.Now()
	g.documents.push(documentEvent{peer: peer, lost: true})
	var lost []*pendingJob
	for ref, p := range g.pending {
		if p.coordinator == peer {
			delete(g.pending, ref)
			lost = append(lost, p)
		}
	}
	g.mu.Unlock()
	g.options.Logger.Warn().Str("event", "link_down").Str("peer", peer).Int("jobs", len(lost)).Err(cause).Send()
	for _, p := range lost {
		p.answer <- Answer{Outcome: placement.Aborted, Reason: "link to the coordinator lost"}
	}
}

// LinkFailed logs a connection that did not become a link.
func (g *Gateway) LinkFailed(address string, cause error) {
	g.options.Logger.Warn().Str("event", "link_refused").Str("peer", address).Err(cause).Send()
}

// Heartbeat returns the body of the next heartbeat.
func (g *Gateway) Heartbeat() *wire.Heartbeat {
	beat := &wire.Heartbeat{ClockUnixMs: time.Now().UnixMilli()}
	if deployment := g.Deployment(); deployment != nil {
		beat.ConfigVersion = deployment.Version
	}
	return beat
}
