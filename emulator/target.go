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
	frozen   *gate // shut while the target is frozen

	stateChanged chan struct{} // wakes the announcer
	stop         context.CancelFunc
	stopped      context.Context
	tasks        sync.WaitGroup
	closeRecord  sync.Once

	mu       sync.Mutex // guards the fields below and the attempts' reports
	state    structs.TargetState
	closed   bool // no start is accepted any more
	faults   Faults
	attempts map[structs.AttemptID]*attempt
	running  int
	starts   int
	random   *rand.Rand
}

// New returns a target that listens, but does not serve yet.
func New(options Options) (*Target, error) {
	if err := options.complete(); err != nil {
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
		frozen:       newGate(),
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

// readHeaderTimeout bounds how long a connection may take to send its header.
const readHeaderTimeout = 10 * time.Second

// Serve serves and announces the target until Close or the end of Leave. It
// returns nil after either.
func (t *Target) Serve() error {
	t.becomeReady()
	t.log.Info().Str("event", "target_ready").Str("address", t.Ref().Address).Int("slots", t.options.Slots).Send()
	var group errgroup.Group
	group.Go(func() error {
		err := t.server.Serve(t.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil // Close stops the rest after streams have ended
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

// Close stops the target at once, with its running attempts, like a crash.
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

// Leave announces that the target leaves, lets its running attempts finish and
// then stops it. If the context ends first, running attempts are cut off.
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

// waitIdle waits until no attempt has run for the linger time.
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

// idlePollInterval is how often a leaving target looks for running attempts.
const idlePollInterval = 10 * time.Millisecond

// Freeze stops the target's answers, announcements and task ends, while its
// connections stay open. Thaw resumes them.
func (t *Target) Freeze() { t.frozen.set(false) }

// Thaw ends a freeze.
func (t *Target) Thaw() { t.frozen.set(true) }

// SetFaults replaces the faults for tasks that start from now on.
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

// Starts returns the number of tasks begun.
func (t *Target) Starts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts
}

// Announcement returns what the target says of itself now.
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

// becomeReady ends the state starting. A target that was told to leave before
// it served stays leaving.
func (t *Target) becomeReady() {
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

// prune drops records of attempts that ended long ago.
func (t *Target) prune(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, a := range t.attempts {
		if !a.isRunning() && now.After(a.until) {
			delete(t.attempts, id)
		}
	}
}
