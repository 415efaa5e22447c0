// Command hawthorn-target is an emulated target: it runs tasks as timers and
// injects faults on request. On SIGTERM it leaves gracefully.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/emulator"
)

// arguments is the command line.
type arguments struct {
	Listen      string        `help:"Address to serve on." default:"127.0.0.1:0"`
	Advertise   string        `help:"Address to announce, if it differs from the address to serve on."`
	ID          string        `help:"Target ID." required:""`
	Count       int           `help:"Number of targets in this process. With more than one, each has a port of its own on the host of --listen, and its number is appended to its ID and its start record." default:"1"`
	Worker      string        `help:"Worker the target runs on."`
	Rack        string        `help:"Rack of the worker."`
	DataCentre  string        `help:"Data centre of the worker."`
	Slots       int           `help:"Number of tasks that run concurrently." default:"8"`
	Classes     []string      `help:"Classes of work to accept; all if none is given."`
	Cores       float64       `help:"Cores per slot."`
	MB          int64         `name:"mb" help:"Memory per slot in MB."`
	Entry       []string      `help:"Addresses of entry instances to announce to."`
	StartRecord string        `help:"File to which every start is appended."`
	RunTime     string        `help:"Run times of tasks that specify none: fixed:D, uniform:MIN,MAX or lognormal:MEDIAN,SIGMA[,MAX]." default:"fixed:100ms"`
	Seed        uint64        `help:"Seed of the run times."`
	LeaveWithin time.Duration `help:"Time limit of a graceful leave." default:"60s"`

	FailAll            bool          `help:"Fault: fail every task."`
	Straggle           float64       `help:"Fault: factor on run times." default:"1"`
	AcceptWhileLeaving bool          `help:"Fault: start tasks while leaving."`
	Linger             time.Duration `help:"Fault: stay this long after the last attempt when leaving."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Emulated target of hawthornshore."))
	writer := zerolog.ConsoleWriter{
		Out:        os.Stderr,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
	}
	log := zerolog.New(writer).With().Timestamp().Logger()
	if err := run(args, log); err != nil {
		log.Error().Str("event", "target_stopped").Err(err).Send()
		os.Exit(1)
	}
	log.Info().Str("event", "target_stopped").Send()
}

// run serves the targets until a signal or an error.
func run(args arguments, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	for n := range max(args.Count, 1) {
		options, err := args.options(log)
		if err != nil {
			return errors.Trace(err)
		}
		if args.Count > 1 {
			if err := makeUnique(&options, n); err != nil {
				return errors.Trace(err)
			}
		}
		target, err := emulator.New(options)
		if err != nil {
			return errors.Trace(err)
		}
		group.Go(func() error { return serve(ctx, target, args.LeaveWithin) })
	}
	return errors.Trace(group.Wait())
}

// makeUnique gives target n of a process its own port, ID, seed and start record.
func makeUnique(options *emulator.Options, n int) error {
	host, _, err := net.SplitHostPort(options.Listen)
	if err != nil {
		return errors.Annotate(err, "parse --listen")
	}
	suffix := "-" + strconv.Itoa(n)
	options.Listen = net.JoinHostPort(host, "0")
	options.ID += suffix
	options.Seed += uint64(n)
	if options.StartRecord != "" {
		options.StartRecord += suffix
	}
	return nil
}

// serve serves one target until ctx ends, then makes it leave gracefully.
func serve(ctx context.Context, target *emulator.Target, leaveWithin time.Duration) error {
	served, serveEnded := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer serveEnded()
		return target.Serve()
	})
	group.Go(func() error {
		<-served.Done()
		if ctx.Err() == nil {
			return nil // Serve returned without a signal
		}
		leaving, cancel := context.WithTimeout(context.Background(), leaveWithin)
		defer cancel()
		return target.Leave(leaving)
	})
	return errors.Trace(group.Wait())
}

func (a *arguments) options(log zerolog.Logger) (emulator.Options, error) {
	runTime, err := emulator.ParseRunTime(a.RunTime)
	if err != nil {
		return emulator.Options{}, errors.Trace(err)
	}
	return emulator.Options{
		ID: a.ID, Worker: a.Worker, Rack: a.Rack, DataCentre: a.DataCentre,
		Slots: a.Slots, Classes: a.Classes, Cores: a.Cores, MB: a.MB,
		Listen: a.Listen, Advertise: a.Advertise, Entries: a.Entry, StartRecord: a.StartRecord,
		RunTime: runTime, Seed: a.Seed,
		Faults: emulator.Faults{
			FailAll:            a.FailAll,
			Slowdown:           a.Straggle,
			AcceptWhileLeaving: a.AcceptWhileLeaving,
			Linger:             a.Linger,
		},
		Log: log,
	}, nil
}
