package emulator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/structs"
)

// Target is an emulated target.
type Target struct {
	options  Options
	log      zerolog.Logger
	listener net.Listener
	server   *http.Server
	record   *startRecord
	unpaused *gate // closed while the target is paused

	stateChanged chan struct{} // wakes the announcer
	stop         context.CancelFunc
	stopped      context.Context
	tasks        sync.WaitGroup
	closeRecord  sync.Once

	mu       sync.Mutex // guards the fields below and the attempts' reports
	state    structs.TargetState
	closed   bool // starts are refused
	faults   Faults
	attempts map[structs.AttemptID]*attempt
	running  int
	starts   int
	random   *rand.Rand
}

// New returns a target that listens but does not serve requests until Serve.
func New(options Options) (*Target, error) {
	if err := options.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	record, err := openStartRecord(options.StartRecord)
	if err != nil {
		return nil, errors.Trace(err)
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		record.close()
		return nil, errors.Annotate(err, "listening")
	}
	t := &Target{
		options:      options,
		log:          options.Log.With().Str("target", options.ID).Str("incarnation", options.Incarnation).Logger(),
		listener:     listener,
		record:       record,
		unpaused:     newGate(),
		stateChanged: make(chan struct{}, 1),
		state:        structs.TargetStarting,
		faults:       options.Faults,
		attempts:     make(map[structs.AttemptID]*attempt),
		random:       rand.New(rand.NewPCG(options.Seed, 0)),
	}
	t.server = &http.Server{Handler: t.handler(), ReadHeaderTimeout: readHeaderTimeout}
	t.stopped, t.stop = context.WithCancel(context.Background())
	return t, nil
}

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

// Serve serves requests and announces the target until Close or the end of Leave,
// and then returns nil.
func (t *Target) Serve() error {
	t.markReady()
	t.log.Info().Str("event", "target_ready").Str("address", t.Ref().Address).Int("slots", t.options.Slots).Send()
	var group errgroup.Group
	group.Go(func() error {
		err := t.server.Serve(t.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil // Close stops the announcer after all streams have ended
		}
		t.stop()
		return errors.Annotate(err, "serving")
	})
	group.Go(func() error {
		newAnnouncer(t).run(t.stopped)
		return nil
	})
	err := group.Wait()
	t.tasks.Wait()
	return errors.Trace(err)
}

// Close stops the target and its running attempts at once, like a crash.
func (t *Target) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.stop()
	err := t.server.Close()
	t.tasks.Wait()
	t.closeRecord.Do(func() { t.record.close() })
	return errors.Trace(err)
}

// Leave announces the state leaving, waits for the running attempts and then stops
// the target. If the context ends first, running attempts are aborted.
func (t *Target) Leave(ctx context.Context) error {
	t.setState(structs.TargetLeaving)
	t.log.Info().Str("event", "target_leaving").Int64("unix_ms", time.Now().UnixMilli()).Send()
	err := t.waitIdle(ctx)
	if err == nil {
		err = t.server.Shutdown(ctx)
	}
	if closeErr := t.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// waitIdle waits until there has been no running attempt for the linger time.
func (t *Target) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		t.mu.Lock()
		running, linger := t.running, t.faults.Linger
		t.mu.Unlock()
		if running > 0 {
			idleSince = time.Now()
		} else if time.Since(idleSince) >= linger {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.stopped.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// idlePollInterval is how often a leaving target checks for running attempts.
const idlePollInterval = 10 * time.Millisecond

// Pause suspends the target's responses, announcements and task ends, while its
// connections stay open.
func (t *Target) Pause() { t.unpaused.setOpen(false) }

// Resume ends a freeze.
func (t *Target) Resume() { t.unpaused.setOpen(true) }

// SetFaults replaces the faults; they apply to tasks that start later.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Ref returns the target's name, incarnation and announced address.
func (t *Target) Ref() structs.TargetRef {
	address := t.options.Advertise
	if address == "" {
		address = t.listener.Addr().String()
	}
	return structs.TargetRef{TargetID: t.options.ID, Incarnation: t.options.Incarnation, Address: address}
}

// Starts returns the number of started tasks.
func (t *Target) Starts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts
}

// Announcement returns the current announcement of the target.
func (t *Target) Announcement() structs.Announcement {
	ref := t.Ref()
	t.mu.Lock()
	defer t.mu.Unlock()
	return structs.Announcement{
		TargetID:    ref.TargetID,
		Incarnation: ref.Incarnation,
		Address:     ref.Address,
		Worker:      t.options.Worker,
		Rack:        t.options.Rack,
		DataCentre:  t.options.DataCentre,
		State:       t.state,
		Slots:       t.options.Slots,
		Classes:     t.options.Classes,
		Cores:       t.options.Cores,
		MB:          t.options.MB,
		Running:     t.running,
	}
}

// markReady ends the state starting. A target for which Leave was called before
// Serve stays in the state leaving.
func (t *Target) markReady() {
	t.mu.Lock()
	if t.state == structs.TargetStarting {
		t.state = structs.TargetReady
	}
	t.mu.Unlock()
	t.wakeAnnouncer()
}

func (t *Target) setState(state structs.TargetState) {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
	t.wakeAnnouncer()
}

func (t *Target) wakeAnnouncer() {
	select {
	case t.stateChanged <- struct{}{}:
	default:
	}
}

// pruneAttempts removes the records of attempts whose retention has passed.
func (t *Target) pruneAttempts(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.attempts {
		if !a.isRunning() && now.After(a.removeAfter) {
			delete(t.attempts, id)
		}
	}
}
