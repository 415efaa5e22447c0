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
	Seeds      []string // names of the coordinators that are known at the start
	// Decode reads the operators' document. It fails only for a document that no
	// coordinator would have accepted.
	Decode func(body []byte) (*Deployment, error)
	Logger zerolog.Logger
}

// Gateway hands callers' jobs to coordinators.
type Gateway struct {
	options GatewayOptions
	mesh    *wire.Mesh

	mu         sync.Mutex
	deployment *Deployment
	homes      map[string]*home // linked coordinators
	known      map[string]bool
	lost       map[string]time.Time // when the last link to a coordinator failed
	pending    map[uint64]*pendingJob
	lastRef    uint64
	draining   bool
	refusing   bool
}

// home is a coordinator with a link.
type home struct {
	dataCentre string
	draining   bool
	waiting    map[string]int64
}

// pendingJob is a job whose answer is awaited.
type pendingJob struct {
	home   string
	answer chan Answer
}

// Answer is the outcome of a job for its caller.
type Answer struct {
	Outcome    placement.Outcome
	Reason     string
	RetryAfter time.Duration // for placement.NotRun
	Home       string        // coordinator that the job was at last; empty: none
}

// unreachableRetry is the pause that callers are told while no coordinator is
// linked; a new link takes about that long.
const unreachableRetry = time.Second

// NewGateway returns a gateway that starts work in Run.
func NewGateway(options GatewayOptions) *Gateway {
	g := &Gateway{
		options: options,
		homes:   map[string]*home{},
		known:   map[string]bool{},
		lost:    map[string]time.Time{},
		pending: map[uint64]*pendingJob{},
	}
	g.mesh = newMesh(newHello(options.Name, options.DataCentre), nil, g)
	return g
}

// Run works until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.learn(g.options.Seeds)
	group.Go(func() error { return g.mesh.Run(ctx) })
	return group.Wait()
}

func (g *Gateway) learn(names []string) {
	for _, name := range names {
		g.mu.Lock()
		known := g.known[name]
		g.known[name] = true
		g.mu.Unlock()
		if !known {
			g.mesh.Dial(linkPeer(name, g.options.LinkPort))
		}
	}
}

// AddSeeds makes coordinators known that the settings name now.
func (g *Gateway) AddSeeds(names []string) { g.learn(names) }

// Ready reports whether callers' requests can be served.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining && g.deployment != nil && len(g.homes) > 0
}

// Drain makes the gateway report that it is not ready.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Refuse makes the gateway refuse further requests, after Drain.
func (g *Gateway) Refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusing = true
}

// Deployment returns the operators' document in force here, or nil.
func (g *Gateway) Deployment() *Deployment {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deployment
}

// WaitingJobs returns the number of jobs of a queue without a started task.
func (g *Gateway) WaitingJobs(queue string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var count int64
	for _, h := range g.homes {
		count += h.waiting[queue]
	}
	return count
}

// InFlight returns the number of jobs that wait for their answer.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// Submit hands a job to a coordinator and returns its answer. When the context
// ends the job is withdrawn.
func (g *Gateway) Submit(ctx context.Context, request *JobRequest) Answer {
	if reason := request.unsupported(); reason != "" {
		return Answer{Outcome: placement.NotRun, Reason: reason, RetryAfter: unreachableRetry}
	}
	begin := time.Now()
	answer := g.submit(ctx, &request.Job)
	countAnswer(request.Queue, answer.Outcome, time.Since(begin))
	g.options.Logger.Info().Str("event", "request_answered").Str("job", request.ID).Str("queue", request.Queue).
		Str("outcome", answer.Outcome.String()).Str("home", answer.Home).Str("reason", answer.Reason).
		Int64("took_ms", time.Since(begin).Milliseconds()).Int64("budget_ms", ms(request.Budget)).Send()
	return answer
}

func (g *Gateway) submit(ctx context.Context, job *placement.Job) Answer {
	answer := Answer{Outcome: placement.NotRun, Reason: "no coordinator is linked", RetryAfter: unreachableRetry}
	g.mu.Lock()
	refusing := g.refusing
	g.mu.Unlock()
	if refusing {
		return Answer{Outcome: placement.NotRun, Reason: "gateway is stopping", RetryAfter: time.Second}
	}
	for _, name := range g.awaitChoices(ctx, job.StartTimeout()) {
		answer = g.submitTo(ctx, name, job)
		answer.Home = name
		if answer.Outcome != placement.NotRun || answer.RetryAfter > placement.RetryElsewhere {
			break
		}
	}
	return answer
}

// linkPoll is how often a request that waits for a link looks for one.
const linkPoll = 10 * time.Millisecond

// awaitChoices returns the linked coordinators, and waits for one for a while.
func (g *Gateway) awaitChoices(ctx context.Context, limit time.Duration) []string {
	until := time.Now().Add(limit)
	for {
		choices := g.choices()
		if len(choices) > 0 || !time.Now().Before(until) {
			return choices
		}
		select {
		case <-time.After(linkPoll):
		case <-ctx.Done():
			return nil
		}
	}
}

// choices returns the linked coordinators in the order in which they are tried:
// those of this data centre, then the others by rendezvous hashing.
func (g *Gateway) choices() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, far []string
	for name, h := range g.homes {
		switch {
		case h.draining:
		case h.dataCentre == g.options.DataCentre:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	return append(ranked(g.options.Name, near), ranked(g.options.Name, far)...)
}

func (g *Gateway) submitTo(ctx context.Context, name string, job *placement.Job) Answer {
	p := &pendingJob{home: name, answer: make(chan Answer, 1)}
	g.mu.Lock()
	g.lastRef++
	ref := g.lastRef
	g.pending[ref] = p
	g.mu.Unlock()
	defer g.forget(ref)
	err := g.mesh.Send(name, &wire.Envelope{Body: &wire.Envelope_Submission{Submission: jobToWire(ref, job)}})
	if err != nil {
		// Nothing was sent, so another coordinator may be tried.
		return Answer{Outcome: placement.NotRun, Reason: err.Error()}
	}
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
		if err := g.mesh.Send(name, &wire.Envelope{Body: &wire.Envelope_Withdrawal{Withdrawal: &wire.Withdrawal{Ref: ref}}}); err != nil {
			g.options.Logger.Warn().Str("event", "withdrawal_lost").Str("job", job.ID).Str("peer", name).Err(err).Send()
		}
		return Answer{Outcome: placement.Aborted, Reason: "caller has left"}
	}
}

func (g *Gateway) forget(ref uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, ref)
}

// HandleMessage takes a one-way message of a coordinator.
func (g *Gateway) HandleMessage(hello *wire.Hello, message *wire.Envelope) {
	switch body := message.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		g.mu.Lock()
		if h := g.homes[hello.GetInstance()]; h != nil {
			h.draining = body.Heartbeat.GetDraining()
		}
		g.mu.Unlock()
	case *wire.Envelope_RoomUpdate:
		g.mu.Lock()
		if h := g.homes[hello.GetInstance()]; h != nil {
			h.waiting = body.RoomUpdate.GetWaiting()
		}
		g.mu.Unlock()
	case *wire.Envelope_Directory:
		g.learn(namesOf(body.Directory))
	case *wire.Envelope_DocumentState:
		g.adopt(Document{Version: body.DocumentState.GetVersion(), Body: body.DocumentState.GetBody()})
	case *wire.Envelope_SubmissionAnswer:
		g.answered(body.SubmissionAnswer)
	}
}

func (g *Gateway) answered(message *wire.SubmissionAnswer) {
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

// adopt takes a newer document.
func (g *Gateway) adopt(document Document) {
	g.mu.Lock()
	old := g.deployment
	g.mu.Unlock()
	if old != nil && old.Version >= document.Version {
		return
	}
	deployment, err := g.options.Decode(document.Body)
	if err != nil {
		g.options.Logger.Error().Str("event", "document_unreadable").Uint64("version", document.Version).Err(err).Send()
		return
	}
	deployment.SortQueues()
	g.mu.Lock()
	if g.deployment == nil || g.deployment.Version < deployment.Version {
		g.deployment = deployment
	}
	g.mu.Unlock()
	g.options.Logger.Info().Str("event", "document_adopted").Uint64("version", document.Version).
		Int("queues", len(deployment.Queues)).Send()
}

// HandleCall refuses: nobody calls a gateway.
func (g *Gateway) HandleCall(_ context.Context, _ string, request *wire.Envelope) (*wire.Envelope, error) {
	return nil, errors.NotSupportedf("request %T", request.GetBody())
}

// LinkUp notes a new link.
func (g *Gateway) LinkUp(hello *wire.Hello) {
	g.mu.Lock()
	g.homes[hello.GetInstance()] = &home{dataCentre: hello.GetDataCentre()}
	g.mu.Unlock()
	g.options.Logger.Info().Str("event", "link_up").Str("peer", hello.GetInstance()).Send()
}

// LinkDown ends the jobs that were at the coordinator: it gives them up too.
func (g *Gateway) LinkDown(peer string, cause error) {
	g.mu.Lock()
	delete(g.homes, peer)
	g.lost[peer] = time.Now()
	var lost []*pendingJob
	for ref, p := range g.pending {
		if p.home == peer {
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

// LinkRefused logs a connection that did not become a link.
func (g *Gateway) LinkRefused(address string, cause error) {
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
