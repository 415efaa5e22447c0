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
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 15 * time.Second
	// refuseAfterShare is the share of the grace period during which a stopping
	// gateway still takes requests: the platform needs two misses of a readiness
	// check a second apart before it sends no more connections.
	refuseAfterShare = 0.45
	// finishShare is the share of the grace period that open requests have.
	finishShare = 0.92
	// finishPoll is how often a stopping gateway looks for open requests.
	finishPoll = 20 * time.Millisecond
)

type gatewayCommand struct{}

// Run serves callers until the process is told to stop.
func (*gatewayCommand) Run() error {
	p, err := startProcess("gateway")
	if err != nil {
		return err
	}
	return p.finish(runGateway(p))
}

func runGateway(p *process) error {
	s := &p.settings
	gateway := cluster.NewGateway(cluster.GatewayOptions{
		Name: s.IP, DataCentre: s.DataCentre, LinkPort: s.LinkPort, Seeds: s.Seeds,
		Decode: platform.DecodeDocument, Logger: p.logger,
	})
	stopping, release := p.signals()
	defer release()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(running)
	callers := &http.Server{
		Handler:           platform.NewCallerHandler(gateway, p.logger),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	if err := serve(ctx, group, s.CallerAddress, callers); err != nil {
		return err
	}
	readiness := &http.Server{Handler: platform.NewReadinessHandler(gateway), ReadHeaderTimeout: headerTimeout}
	if err := serve(ctx, group, s.ReadinessAddress, readiness); err != nil {
		return err
	}
	address, metrics := p.metricsServer()
	if err := serve(ctx, group, address, metrics); err != nil {
		return err
	}
	group.Go(func() error { return gateway.Run(ctx) })
	group.Go(func() error {
		return p.watchSettings(ctx, func(changed platform.Settings) { gateway.AddSeeds(changed.Seeds) })
	})
	group.Go(func() error {
		select {
		case <-stopping.Done():
			p.drainGateway(gateway, callers)
		case <-ctx.Done():
		}
		stop()
		return nil
	})
	return ignoreCancel(group.Wait())
}

// drainGateway ends a gateway without cutting a request: it reports not ready,
// goes on until the platform has noticed, and then finishes open requests.
func (p *process) drainGateway(gateway *cluster.Gateway, callers *http.Server) {
	begin := time.Now()
	grace := p.settings.StopGrace
	p.logger.Info().Str("event", "drain_started").Dur("grace_ms", grace).Send()
	gateway.Drain()
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(time.Duration(refuseAfterShare * float64(grace)))
	gateway.Refuse()
	for gateway.InFlight() > 0 && time.Since(begin) < time.Duration(finishShare*float64(grace)) {
		time.Sleep(finishPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(finishShare*float64(grace))-time.Since(begin)+finishPoll)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		p.logger.Warn().Str("event", "drain_incomplete").Int("jobs", gateway.InFlight()).Err(err).Send()
	}
}
