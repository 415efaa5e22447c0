package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// caughtUpFor is how long after a read of the log to its end a coordinator accepts
	// stored jobs. Jobs come at hundreds a second, and a read costs a round trip to the
	// leader.
	caughtUpFor = 2 * time.Second
	// refreshAfter is the age of a read at which a submission starts the next one without
	// waiting for it.
	refreshAfter = time.Second
	// catchUpTimeout bounds the wait of a submission for a read; after it the gateway
	// tries another coordinator. A read takes some milliseconds.
	catchUpTimeout = 300 * time.Millisecond
)

// catchUp tracks whether this coordinator has the log up to its end. Without that it
// would be the home of jobs that it never sees, and that never run.
type catchUp struct {
	read func(context.Context) error // reads the log to its end

	mu        sync.Mutex
	confirmed bool
	startedAt time.Duration // of the newest read that has succeeded
	current   *logRead      // nil: none
}

// logRead is a read that several submissions wait for.
type logRead struct {
	done chan struct{}
	err  error // set before done is closed
}

// confirm records a successful read that began at a time.
func (u *catchUp) confirm(startedAt time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.confirmed, u.startedAt = true, max(u.startedAt, startedAt)
}

// newestRead returns when the newest successful read began, if there was one.
func (u *catchUp) newestRead() (startedAt time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.startedAt, u.confirmed
}

// check returns nil if the log was read to its end within caughtUpFor, or is now. A read
// outlives the submission that has started it.
func (u *catchUp) check(ctx context.Context) error {
	u.mu.Lock()
	age := boottimeNow() - u.startedAt
	caughtUp := u.confirmed && age < caughtUpFor
	r := u.current
	if r == nil && (!caughtUp || age >= refreshAfter) {
		r = &logRead{done: make(chan struct{})}
		u.current = r
		go u.run(context.WithoutCancel(ctx), r)
	}
	u.mu.Unlock()
	if caughtUp {
		return nil
	}
	select {
	case <-r.done:
		return errors.Annotate(r.err, "log is not read to its end")
	case <-time.After(catchUpTimeout):
		return errors.Timeoutf("log is not read to its end: wait")
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "log is not read to its end")
	}
}

func (u *catchUp) run(ctx context.Context, r *logRead) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	startedAt := boottimeNow()
	r.err = u.read(ctx)
	if r.err == nil {
		u.confirm(startedAt)
	}
	u.mu.Lock()
	u.current = nil
	u.mu.Unlock()
	close(r.done)
}
