package main

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthornshore.example/cluster"
	"hawthornshore.example/platform"
)

const (
	// refuseAfterGraceShare is the share of the grace period during which a stopping
	// gateway still accepts requests: the platform stops sending connections only
	// after two failed readiness checks a second apart.
	refuseAfterGraceShare = 0.45
	// drainGraceShare is the share of the grace period in which open requests may finish.
	drainGraceShare = 0.92
	// drainPollInterval is how often a stopping gateway checks for open requests.
	drainPollInterval = 20 * time.Millisecond
)

type gatewayCommand struct{}

// Run serves callers until SIGTERM or SIGINT.
func (*gatewayCommand) Run(stopping stopSignal) error {
	p, err := startProcess("gateway")
	if err != nil {
		return err
	}
	return p.shutdown(runGateway(p, stopping))
}

func runGateway(p *process, stopping context.Context) error {
	s := &p.settings
	gateway := cluster.NewGateway(cluster.GatewayOptions{
		Name: s.IP, DataCentre: s.DataCentre, LinkPort: s.LinkPort, Seeds: s.Seeds,
		Decode: platform.DecodeDocument, Logger: p.logger, RequestLogger: p.requestLogger,
	})
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(running)
	clients := p.newClients(gateway.Limits)
	group.Go(func() error { return clients.pool.Run(ctx) })
	callerServer := &http.Server{Handler: platform.NewCallerHandler(gateway, p.requestLogger)}
	if err := clients.serve(ctx, group, address{"callers", s.CallerAddress, clients.connections, callerBacklog}, callerServer); err != nil {
		return err
	}
	readiness := &http.Server{Handler: platform.NewReadinessHandler(gateway)}
	if err := clients.serve(ctx, group, address{"readiness", s.ReadinessAddress, sideConnections, sideBacklog}, readiness); err != nil {
		return err
	}
	metricsAddress, metrics := p.metricsServer()
	if err := clients.serve(ctx, group, address{"metrics", metricsAddress, sideConnections, sideBacklog}, metrics); err != nil {
		return err
	}
	group.Go(func() error { return gateway.Run(ctx) })
	group.Go(func() error {
		return p.watchSettings(ctx, func(settings platform.Settings) { gateway.AddSeeds(settings.Seeds) })
	})
	group.Go(func() error {
		select {
		case <-stopping.Done():
			p.drainGateway(gateway, callerServer, clients)
		case <-ctx.Done():
		}
		stop()
		return nil
	})
	return ignoreCanceled(group.Wait())
}

// drainGateway stops a gateway without aborting requests: it reports not ready,
// serves until the platform has stopped routing to it, and finishes open requests.
func (p *process) drainGateway(gateway *cluster.Gateway, callerServer *http.Server, clients *clients) {
	begin := time.Now()
	grace := p.settings.StopGrace
	p.logger.Info().Str("event", "drain_started").Dur("grace_ms", grace).Send()
	gateway.MarkNotReady()
	callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(time.Duration(refuseAfterGraceShare * float64(grace)))
	gateway.RejectJobs()
	clients.pool.Drain()
	for gateway.InFlight() > 0 && time.Since(begin) < time.Duration(drainGraceShare*float64(grace)) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(drainGraceShare*float64(grace))-time.Since(begin)+drainPollInterval)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		p.logger.Warn().Str("event", "drain_incomplete").Int("jobs", gateway.InFlight()).Err(err).Send()
	}
}
