package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/ring"
	"hawthornshore.example/server/control"
	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
	"hawthornshore.example/wire"
)

// Server is an entry instance.
type Server struct {
	options   Options
	log       zerolog.Logger
	coreLoop  *coreLoop
	mesh      *wire.Mesh
	targets   *targetapi.Client
	directory *directory
	pending   *pendingRequests
	metrics   *metrics
	control   *control.Control
	detector  *detector
	http      *http.Server
	// static is set if there is no voter: the settings determine the members.
	static bool

	// configVersion is the version of the applied configuration.
	configVersion atomic.Uint64
	lease         atomic.Pointer[lease.LeaseChanged]
	ownership     atomic.Pointer[claims.Ownership]
	clockOffset   atomic.Int64 // milliseconds ahead of the peers' median at the last report
	shutdown      *shutdownState
	started       time.Time
	capacity      atomic.Pointer[dispatch.Capacity]
	attempts      inflight        // attempt goroutines
	requests      inflight        // job requests in flight, forwarded ones included
	lifetime      context.Context // ends when Run returns
	endLifetime   context.CancelFunc
}

// New returns a Server that is started by Run.
func New(options Options) *Server {
	s := &Server{
		options:   options,
		log:       options.Logger.With().Str("instance", options.Name).Logger(),
		directory: newDirectory(options),
		detector:  newDetector(&options),
		pending:   newPendingRequests(),
		metrics:   newMetrics(),
		static:    len(options.voters()) == 0,

		shutdown: newShutdownState(),
		started:  time.Now(),
	}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.targets = targetapi.NewClient(targetapi.Options{OnMismatch: s.reportMismatch})
	s.coreLoop = s.newCoreLoop()
	s.mesh = s.newMesh()
	s.metrics.addTraffic(s.mesh.Traffic())
	s.control = control.New(control.Options{
		Name:            options.Name,
		DataFolder:      options.DataFolder,
		Voters:          options.voters(),
		SetAsideDamaged: options.SetAsideDamaged,
		InitialConfig:   options.Config,
		Mesh:            s.mesh,
		Logger:          s.log,
		OnState:         s.applyState,
	})
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: options.HeaderTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
	}
	if options.Clients != nil {
		options.Clients.Attach(s.http)
	}
	return s
}

func (s *Server) newCoreLoop() *coreLoop {
	start := time.Now()
	l := &coreLoop{
		claims: claims.New(claims.Options{
			Instance:   s.options.Name,
			DataCentre: s.options.DataCentre,
			Start:      start,
		}),
		dispatch: dispatch.New(dispatch.Options{
			Instance:   s.options.Name,
			DataCentre: s.options.DataCentre,
			Seed:       uint64(start.UnixNano()),
			Policy:     dispatch.Policy(s.options.Policy),
		}),
		queue:   ring.New[input](inputQueueSize),
		handler: s,
	}
	if !s.static {
		l.lease = lease.New(lease.Options{Instance: s.options.Name, Start: start})
		return l
	}
	l.step(start, input{dispatch: dispatch.ConfigChanged{Config: s.options.Config}})
	l.step(start, input{claims: claims.MembersChanged{Epoch: 1, Members: s.directory.agreedMembers(s.options.DataCentre)}})
	l.step(start, input{
		claims:   claims.LeaseChanged{Held: true},
		dispatch: dispatch.LeaseChanged{Held: true},
	})
	s.configVersion.Store(s.options.Config.Version)
	return l
}

func (s *Server) newMesh() *wire.Mesh {
	peers := make([]wire.Peer, len(s.options.Peers))
	for i, peer := range s.options.Peers {
		peers[i] = wire.Peer{Name: peer.Name, Address: peer.Address}
	}
	return wire.NewMesh(wire.MeshOptions{
		Self: &wire.Hello{
			Instance:    s.options.Name,
			DataCentre:  s.options.DataCentre,
			Incarnation: strconv.FormatUint(s.options.Incarnation, 10),
		},
		Listener:  s.options.LinkListener,
		Peers:     peers,
		Handler:   s,
		ClientTLS: s.options.ClientTLS,
	})
}

// Run serves until ctx ends, then drains: requests in flight are finished
// before it returns.
func (s *Server) Run(ctx context.Context) error {
	s.log.Info().Str("event", "instance_started").
		Str("data_centre", s.options.DataCentre).
		Uint64("incarnation", s.options.Incarnation).
		Str("http", s.options.HTTPListener.Addr().String()).
		Str("link", s.options.LinkListener.Addr().String()).Send()
	defer s.endLifetime()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	if err := s.control.Start(serveCtx); err != nil {
		return err
	}
	group.Go(func() error { return s.control.Run(serveCtx) })
	group.Go(func() error { return s.coreLoop.run(serveCtx) })
	group.Go(func() error { return s.memberLoop(serveCtx) })
	group.Go(func() error { return s.mesh.Run(serveCtx) })
	group.Go(func() error { return s.serveHTTP() })
	if s.options.Clients != nil {
		group.Go(func() error { return s.options.Clients.Run(serveCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain()
		case <-s.shutdown.requested:
			s.drain()
		case <-serveCtx.Done():
		}
		stopServing()
		return s.http.Close()
	})
	err := group.Wait()
	s.log.Info().Str("event", "instance_stopped").Send()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) serveHTTP() error {
	err := s.http.Serve(s.options.HTTPListener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// applyConfig applies a newer configuration.
func (s *Server) applyConfig(config structs.SystemConfig) {
	s.post(input{dispatch: dispatch.ConfigChanged{Config: config}})
}

// post queues an event for the core loop. It fails only when the server stops.
func (s *Server) post(in input) {
	if err := s.coreLoop.post(s.lifetime, in); err != nil {
		s.log.Warn().Str("event", "event_dropped").Str("step", "decide").Err(err).Send()
	}
}
