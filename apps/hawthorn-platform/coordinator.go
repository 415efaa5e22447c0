package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/cluster"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/placement"
	"hawthornshore.example/platform"
)

type coordinatorCommand struct {
	TargetSpeeds bool   `help:"Let placements depend on the learned speeds of targets."`
	QueueOrder   string `enum:"cost,priority" default:"priority" help:"Order of waiting jobs while capacity is short: cost (least loss to callers) or priority (priority, then arrival)."`
}

// Run serves targets and operators until SIGTERM or SIGINT.
func (c *coordinatorCommand) Run(stopping stopSignal) error {
	p, err := startProcess("coordinator")
	if err != nil {
		return err
	}
	return p.shutdown(c.serve(p, stopping))
}

func (c *coordinatorCommand) serve(p *process, stopping context.Context) error {
	s := &p.settings
	linkListener, err := net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.LinkPort)))
	if err != nil {
		return errors.Annotate(err, "listen for links")
	}
	coordinator := cluster.NewCoordinator(c.options(p, linkListener))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return coordinator.Run(ctx) })
	clients := p.newClients(coordinator.Limits)
	group.Go(func() error { return clients.pool.Run(ctx) })
	control := &http.Server{Handler: platform.NewControlHandler(coordinator, p.requestLogger)}
	if err := clients.serve(ctx, group, address{"control", s.ControlAddress, clients.connections, controlBacklog}, control); err != nil {
		return err
	}
	var pages []page
	if coordinator.EvacuationsEnabled() {
		pages = append(pages, page{operatorapi.PathEvacuations, evacuationsHandler(coordinator)})
	}
	metricsAddress, metrics := p.metricsServer(pages...)
	if err := clients.serve(ctx, group, address{"metrics", metricsAddress, sideConnections, sideBacklog}, metrics); err != nil {
		return err
	}
	group.Go(func() error {
		return p.watchSettings(ctx, func(settings platform.Settings) { coordinator.AddSeeds(settings.Seeds) })
	})
	group.Go(func() error {
		select {
		case <-stopping.Done():
			p.drainCoordinator(coordinator)
		case <-ctx.Done():
		}
		stop()
		return nil
	})
	return ignoreCanceled(group.Wait())
}

func (p *process) drainCoordinator(coordinator *cluster.Coordinator) {
	limit := time.Duration(drainGraceShare * float64(p.settings.StopGrace))
	p.logger.Info().Str("event", "drain_started").Dur("grace_ms", p.settings.StopGrace).Send()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	coordinator.Drain(ctx)
}

func (c *coordinatorCommand) options(p *process, linkListener net.Listener) cluster.CoordinatorOptions {
	s := &p.settings
	return cluster.CoordinatorOptions{
		Name: s.IP, DataCentre: s.DataCentre, Listener: linkListener, LinkPort: s.LinkPort, Seeds: s.Seeds,
		DataFolder:                 s.DataFolder,
		JobRetention:               s.JobRetention,
		TolerableCoordinatorLosses: s.DiskLosses, TolerateDataCentreLoss: s.TolerateDataCentreLoss,
		AllowBootstrap: s.FirstStart && slices.Contains(s.Seeds, s.IP),
		Placement: placement.Options{
			Name: s.IP, Lease: s.LongestLease, StopTime: s.StopTime, UnixMS: time.Now().UnixMilli(), Cold: s.Cold,
			TargetSpeeds: c.TargetSpeeds,
			QueueOrder:   placement.QueueOrder(c.QueueOrder),
		},
		Evacuation: cluster.EvacuationOptions{Bound: s.EvacuationBound, DataCentres: s.DataCentres},
		Targets:    platform.NewTargetClient(),
		Logger:     p.logger, RequestLogger: p.requestLogger,
		Decode: platform.DecodeDocument,
		HeartbeatAddress: func(name string) string {
			return net.JoinHostPort(name, strconv.Itoa(s.ControlPort))
		},
	}
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
