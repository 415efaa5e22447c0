package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrFull is returned by Push when the ring is full.
var ErrFull = errors.New("ring is full")

// ErrClosed is returned by pushes after Close.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in-first-out queue for many producers and one
// consumer. The zero value is not usable; see New.
type Ring[T any] struct {
	mu     sync.Mutex
	buf    []T
	head   int
	count  int
	closed bool
	ready  chan struct{} // holds one signal while elements may be present
	space  chan struct{} // holds one signal after elements were removed
}

// New returns a ring for at most capacity elements.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{
		buf:   make([]T, capacity),
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
	}
}

// Push adds an element, or returns ErrFull or ErrClosed.
func (r *Ring[T]) Push(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.buf) {
		return ErrFull
	}
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
	signal(r.ready)
	return nil
}

// PushWait adds an element and waits for space while the ring is full.
func (r *Ring[T]) PushWait(ctx context.Context, v T) error {
	for {
		err := r.Push(v)
		if !errors.Is(err, ErrFull) {
			// Another producer may wait for the same signal.
			signal(r.space)
			return err
		}
		select {
		case <-r.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Ready returns the channel that is signalled when elements may be present.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// PopAll appends all present elements to dst and removes them from the ring.
func (r *Ring[T]) PopAll(dst []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for r.count > 0 {
		dst = append(dst, r.buf[r.head])
		r.buf[r.head] = zero
		r.head = (r.head + 1) % len(r.buf)
		r.count--
	}
	signal(r.space)
	return dst
}

// Len returns the number of present elements.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close makes further pushes fail. Present elements can still be removed.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	signal(r.ready)
	signal(r.space)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
