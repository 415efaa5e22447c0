package documents

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// pieceTimeout is how long the answer to a request may take before another
	// coordinator is asked. A piece takes 64 ms on a link of 2 Mbit/s. After each
	// timeout the next one is twice as long, up to maxPieceTimeout: the link may be
	// slower than that, and each repeated request adds to its load.
	pieceTimeout    = 300 * time.Millisecond
	maxPieceTimeout = 1200 * time.Millisecond
	// timeoutMemory is how long a coordinator that has not answered in time comes after
	// the others.
	timeoutMemory = 5 * time.Second
	// grace is how long a gateway waits for a coordinator of its own data centre to hold a
	// new version, and after its start for others than the first one that it hears of.
	// They usually hold a version some milliseconds after each other.
	grace = 50 * time.Millisecond
)

// Fetcher decides when a gateway requests the next piece of a document, and from which
// coordinator. It requests one piece at a time, so that nothing else on its links waits
// for more than that, and completes a version that it has begun before the next one, so
// that changes in quick succession cannot keep it from all of them. Versions that are
// superseded before it asks for them are never sent.
type Fetcher struct {
	self    string
	lag     Lag
	sources map[string]*source
	partial partial
	// request is the one that waits for its answer, if waiting is set.
	request  Request
	waiting  bool
	dueAt    time.Time // when the request times out
	timeouts int       // since the last piece that arrived in time
}

// source is a coordinator from which documents can be requested.
type source struct {
	local      bool
	version    uint64
	timedOutAt time.Time
}

// recentTimeout returns when a request last timed out, or the zero time.
func (s *source) recentTimeout(now time.Time) time.Time {
	if now.Sub(s.timedOutAt) > timeoutMemory {
		return time.Time{}
	}
	return s.timedOutAt
}

// partial is the part of an encoded document that has arrived.
type partial struct {
	version  uint64
	total    uint64
	checksum uint32
	data     []byte
}

// NewFetcher returns the fetcher of a gateway.
func NewFetcher(self string) *Fetcher {
	return &Fetcher{self: self, sources: map[string]*source{}}
}

// Announced records the version that a coordinator holds. Local means that it is in the
// data centre of the gateway.
func (f *Fetcher) Announced(now time.Time, peer string, local bool, version uint64) {
	s := f.sources[peer]
	if s == nil {
		s = &source{}
		f.sources[peer] = s
	}
	s.local = local
	s.version = max(s.version, version)
	f.lag.Announced(now, version)
}

// Lost records that the link to a coordinator has ended.
func (f *Fetcher) Lost(peer string) {
	delete(f.sources, peer)
	if f.waiting && f.request.Peer == peer {
		f.waiting = false
	}
}

// Finished records that the gateway obeys a version, or cannot read it, and returns the
// time since it first heard of one that it lacked.
func (f *Fetcher) Finished(now time.Time, version uint64) time.Duration {
	if f.partial.version <= version {
		f.partial = partial{}
	}
	return f.lag.Adopted(now, version)
}

// BehindSince returns since when the gateway has known that it lacks a version, or the
// zero time, and the newest version that it has heard of.
func (f *Fetcher) BehindSince() (time.Time, uint64) { return f.lag.Since(), f.lag.Newest() }

// NextWake returns when Next may have a request without further events, or the zero time.
func (f *Fetcher) NextWake(now time.Time) time.Time {
	if f.waiting {
		return f.dueAt
	}
	if since := f.lag.Since(); !since.IsZero() && now.Sub(since) < grace {
		return since.Add(grace)
	}
	return time.Time{}
}

// Next returns the request to send now, if there is one.
func (f *Fetcher) Next(now time.Time) (Request, bool) {
	timedOut := f.waiting && !now.Before(f.dueAt)
	switch {
	case timedOut:
		f.recordTimeout(now)
	case f.waiting:
		return Request{}, false
	}
	peer := f.request.Peer
	if timedOut || !f.continues(peer) {
		peer = f.choose(now)
	}
	if peer == "" {
		return Request{}, false
	}
	f.request = Request{Peer: peer, Version: f.partial.version, Offset: uint64(len(f.partial.data))}
	f.waiting = true
	f.dueAt = now.Add(min(pieceTimeout<<min(f.timeouts, 8), maxPieceTimeout))
	return f.request, true
}

func (f *Fetcher) recordTimeout(now time.Time) {
	f.waiting = false
	f.timeouts++
	if s := f.sources[f.request.Peer]; s != nil {
		s.timedOutAt = now
	}
}

// continues reports whether a coordinator may have the rest of the document that has
// arrived in part.
func (f *Fetcher) continues(peer string) bool {
	s := f.sources[peer]
	return len(f.partial.data) > 0 && s != nil && s.version >= f.partial.version
}

// choose returns the coordinator to ask, which is one of those with the newest version.
// It returns "" if none has a version that this gateway lacks, or the grace has not
// passed.
func (f *Fetcher) choose(now time.Time) string {
	newest, localLinked := f.lag.held, false
	for _, s := range f.sources {
		newest = max(newest, s.version)
		localLinked = localLinked || s.local
	}
	if newest == f.lag.held {
		return ""
	}
	var peers []string
	for peer, s := range f.sources {
		if s.version == newest {
			peers = append(peers, peer)
		}
	}
	best := slices.MinFunc(peers, func(a, b string) int { return f.compare(now, a, b) })
	early := f.lag.held == 0 || (localLinked && !f.sources[best].local)
	if early && f.lag.Behind(now) < grace {
		return ""
	}
	return best
}

// compare orders coordinators by preference: those whose last timeout is longest ago,
// then those of this data centre, then by a weight that spreads the gateways.
func (f *Fetcher) compare(now time.Time, a, b string) int {
	x, y := f.sources[a], f.sources[b]
	if order := x.recentTimeout(now).Compare(y.recentTimeout(now)); order != 0 {
		return order
	}
	if x.local != y.local {
		if x.local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(f.weight(a), f.weight(b)), cmp.Compare(a, b))
}

func (f *Fetcher) weight(peer string) uint64 { return xxhash.Sum64String(f.self + "/" + peer) }

// Received processes a piece. It returns the encoded document once it is whole, and nil
// before. A piece that arrives after its timeout is used as well.
func (f *Fetcher) Received(peer string, piece *Piece) (*Encoded, error) {
	requested := f.waiting && f.request.Peer == peer
	if requested {
		f.waiting, f.timeouts = false, 0
		f.noteVersion(peer, piece)
	}
	p := &f.partial
	if !p.continuedBy(piece) {
		if !requested || piece.Offset != 0 || piece.Version <= f.lag.held {
			return nil, nil
		}
		*p = partial{version: piece.Version, total: piece.Total, checksum: piece.Checksum}
	}
	p.data = append(p.data, piece.Data...)
	if uint64(len(p.data)) < p.total {
		return nil, nil
	}
	whole := &Encoded{Version: p.version, Data: p.data, Checksum: p.checksum}
	f.partial = partial{}
	if !whole.valid() {
		return nil, errors.NotValidf("checksum of document %d from %s", whole.Version, peer)
	}
	return whole, nil
}

// noteVersion corrects the version of a coordinator that has answered with an older one
// than it had announced, or it would be asked again without end.
func (f *Fetcher) noteVersion(peer string, piece *Piece) {
	if s := f.sources[peer]; s != nil && piece.Offset == 0 {
		s.version = piece.Version
	}
}

// continuedBy reports whether a piece follows what has arrived of the same document.
func (p *partial) continuedBy(piece *Piece) bool {
	return len(p.data) > 0 && p.version == piece.Version && p.total == piece.Total && p.checksum == piece.Checksum &&
		piece.Offset == uint64(len(p.data))
}
