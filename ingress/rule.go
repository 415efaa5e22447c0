package ingress

import "time"

// Phase is what a connection does.
type Phase uint8

// Phases of a connection.
const (
	Fresh     Phase = iota // accepted, nothing received
	Idle                   // between two requests
	Head                   // receives a request's head
	Body                   // receives a request's body
	Serving                // the request is complete and its handler runs
	Finishing              // the handler has returned, the response is being sent
)

func (p Phase) String() string {
	return [...]string{"fresh", "idle", "head", "body", "serving", "finishing"}[p]
}

// Reason is why a connection is closed or a request is refused.
type Reason string

// Reasons of closed connections and refused requests.
const (
	ConnectionLimit Reason = "connection_limit" // room for a new connection
	MemoryLimit     Reason = "memory_limit"     // room for the bytes of another request
	HeadLimit       Reason = "head_limit"       // the head is too long
	HeadTimeout     Reason = "head_timeout"
	BodyTimeout     Reason = "body_timeout" // the body stopped or is too slow
	IdleTimeout     Reason = "idle_timeout"
	ResponseTimeout Reason = "response_timeout" // the client does not read its response
	Stopping        Reason = "stopping"         // an unfinished request when the process stops
)

var reasons = []Reason{
	ConnectionLimit, MemoryLimit, HeadLimit, HeadTimeout, BodyTimeout, IdleTimeout, ResponseTimeout, Stopping,
}

// Limits are the bounds that may change while the process runs.
type Limits struct {
	HeadBytes   int           // of one request's head, with the blank line that ends it
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // without a request, or without progress of a body
}

// Budget is the memory for requests.
type Budget struct {
	Bytes int64 // held by all requests
	// Reserve is the part of Bytes for requests that hold at most smallRequest.
	Reserve int64
}

const (
	// smallRequest is the most that an ordinary request holds; they have 0.5 to 4 KB.
	smallRequest = 8 << 10
	// fairAge is the time after which an unfinished request may be closed in favour of
	// another. An ordinary request arrives whole.
	fairAge = time.Second
	// freshAge is the same for a connection without any request. An ordinary client
	// connects in order to send one.
	freshAge = 250 * time.Millisecond
	// idleAge is the same for a connection between two requests. Targets send a
	// heartbeat every 1.5 s.
	idleAge = 5 * time.Second
	// freshShare: connections without any request take at most this part of a group.
	freshShare = 2
	// fairRate in bytes per second is half that of a client with 1 Mbit/s. Under
	// pressure, slower bodies are closed first.
	fairRate = 64 << 10
	// leastRate in bytes per second, after leastRateGrace, bounds the time of a body
	// under pressure: 46 s for 262,144 bytes.
	leastRate      = 16 << 10
	leastRateGrace = 30 * time.Second
	// pressureShare is the part of the bytes or of an address's connections from which
	// leastRate applies.
	pressureShare = 0.75
	// longestBody bounds the time of a body without pressure.
	longestBody = 10 * time.Minute
	// finishTimeout bounds the time in which net/http reads the rest of a refused
	// request; it waits for 0.5 s after its response.
	finishTimeout = 3 * time.Second
	// lateSweep is the distance of two sweeps from which the process counts as frozen
	// meanwhile. Sweeps are 0.2 s apart.
	lateSweep = time.Second
)

// Group is the connections of one address.
type Group struct {
	Name    string
	Limit   int // connections
	members map[*Member]struct{}
	fresh   int
	// noneUntil is the time before which no member has to be searched for in favour of a
	// new connection, and noFreshUntil is the same for those without any request.
	noneUntil, noFreshUntil time.Time
}

// NewGroup returns a group without connections.
func NewGroup(name string, limit int) *Group {
	return &Group{Name: name, Limit: max(limit, 1), members: map[*Member]struct{}{}}
}

// Member is a connection.
type Member struct {
	group      *Group
	phase      Phase
	since      time.Time // start of the phase
	progressAt time.Time // last byte received
	received   int64     // bytes in this phase
	held       int64     // bytes of the budget
	closing    bool      // chosen to be closed
	writingAt  time.Time // start of a write, or zero
}

// Closing is a member that has to be closed.
type Closing struct {
	Member *Member
	Reason Reason
}

// Rule decides which requests are admitted and which connections are closed. It is
// not safe for concurrent use.
type Rule struct {
	Limits   Limits
	budget   Budget
	held     int64
	draining bool
	groups   []*Group
	sweptAt  time.Time
	skipped  bool // the last sweep was late
}

// NewRule returns a rule without connections.
func NewRule(budget Budget, limits Limits) *Rule { return &Rule{budget: budget, Limits: limits} }

// Add adds a group.
func (r *Rule) Add(g *Group) { r.groups = append(r.groups, g) }

// Held returns the bytes that requests hold.
func (r *Rule) Held() int64 { return r.held }

// Drain makes Overdue return unfinished requests once they are older than fairAge.
func (r *Rule) Drain() { r.draining = true }

// Open adds a connection. If the group is full, it returns the member to close in its
// favour; if there is none, the connection is not admitted and member is nil.
func (r *Rule) Open(g *Group, now time.Time) (member, victim *Member) {
	if len(g.members) >= g.Limit {
		if victim = g.victim(now); victim == nil {
			return nil, nil
		}
	} else if g.fresh >= g.Limit/freshShare && !now.Before(g.noFreshUntil) {
		victim, g.noFreshUntil = g.worst(now, waiting)
	}
	if victim != nil {
		r.leave(victim)
	}
	member = &Member{group: g, since: now, progressAt: now}
	g.members[member] = struct{}{}
	g.fresh++
	g.changed(member)
	return member, victim
}

// victim returns the member of a full group to close in favour of a new connection: the
// worst one, or the one that has been idle for the longest time. The latter is closed at
// any age, so that kept connections do not shut others out, but not for more connections
// without any request than freshShare permits.
func (g *Group) victim(now time.Time) *Member {
	if now.Before(g.noneUntil) {
		return nil
	}
	victim, until := g.worst(now, unfinished|waiting|idle)
	if victim == nil && g.fresh < max(g.Limit/freshShare, 1) {
		for m := range g.members {
			if m.kind() == idle && (victim == nil || m.since.Before(victim.since)) {
				victim = m
			}
		}
	}
	g.noneUntil = time.Time{}
	if victim == nil {
		g.noneUntil = until
	}
	return victim
}

// changed records that a member has entered a phase, in which it may be closed later.
func (g *Group) changed(m *Member) {
	kind := m.kind()
	if kind == 0 {
		return
	}
	until := m.since.Add(fairAges[kind])
	if kind == idle {
		until = m.since
	}
	if until.Before(g.noneUntil) {
		g.noneUntil = until
	}
}

// Kinds of members that may be closed in favour of a new connection, the first ones last.
const (
	idle       = 1 << iota // between two requests
	waiting                // no request yet
	unfinished             // a part of a request
)

// fairAges has the age from which a kind may be closed.
var fairAges = [...]time.Duration{idle: idleAge, waiting: freshAge, unfinished: fairAge}

func (m *Member) kind() int {
	switch m.phase {
	case Head, Body, Finishing:
		return unfinished
	case Fresh:
		return waiting
	case Idle:
		return idle
	}
	return 0
}

// worst returns the member of the given kinds to close in favour of a new connection:
// an unfinished request, the one with the most bytes for the longest time first, then
// the connection that has had no request for the longest time. If no member is old
// enough, until is when the first one will be.
func (g *Group) worst(now time.Time, kinds int) (worst *Member, until time.Time) {
	var worstScore float64
	until = now.Add(idleAge)
	for m := range g.members {
		kind := m.kind()
		if kind&kinds == 0 {
			continue
		}
		if fair := m.since.Add(fairAges[kind]); now.Before(fair) {
			if fair.Before(until) {
				until = fair
			}
			continue
		}
		score := now.Sub(m.since).Seconds() * float64(m.received+smallRequest)
		if worst == nil || kind > worst.kind() || kind == worst.kind() && score > worstScore {
			worst, worstScore = m, score
		}
	}
	if worst != nil {
		until = time.Time{}
	}
	return worst, until
}

// leave takes a member out of the counts before its connection is closed.
func (r *Rule) leave(m *Member) {
	if m.closing {
		return
	}
	m.closing = true
	r.Release(m)
	m.group.leaveFresh(m)
	delete(m.group.members, m)
}

// Close removes a connection.
func (r *Rule) Close(m *Member) { r.leave(m) }

// Enter starts a phase.
func (r *Rule) Enter(m *Member, phase Phase, now time.Time) {
	if m.closing {
		return
	}
	m.group.leaveFresh(m)
	m.phase, m.since, m.progressAt, m.received = phase, now, now, 0
	m.group.changed(m)
}

// leaveFresh counts a member that is no longer without any request.
func (g *Group) leaveFresh(m *Member) {
	if m.phase != Fresh {
		return
	}
	g.fresh--
	g.noneUntil = time.Time{} // an idle member may be closed again
}

// Receive records received bytes.
func (r *Rule) Receive(m *Member, n int, now time.Time) {
	m.received += int64(n)
	m.progressAt = now
}

// Hold asks for n more bytes before they are read. If they are not available, slow and
// large requests are closed in its favour, or the request is refused. A request is
// admitted in any case while no other one holds more than smallRequest.
func (r *Rule) Hold(m *Member, n int64, now time.Time) (admitted bool, victims []Closing) {
	if m.closing {
		return false, nil
	}
	limit := r.budget.Bytes
	if m.held+n > smallRequest {
		limit -= r.budget.Reserve
	}
	for r.held+n > limit && r.held-m.held > r.budget.Reserve {
		victim := r.largestSlow(m, now)
		if victim == nil {
			return false, victims
		}
		r.leave(victim)
		victims = append(victims, Closing{victim, MemoryLimit})
	}
	m.held += n
	r.held += n
	return true, victims
}

// largestSlow returns the largest request that is slower than fairRate, or nil.
func (r *Rule) largestSlow(except *Member, now time.Time) *Member {
	var largest *Member
	for _, g := range r.groups {
		for m := range g.members {
			if m == except || m.held <= smallRequest || m.phase != Head && m.phase != Body {
				continue
			}
			age := now.Sub(m.since)
			slow := age >= fairAge && (now.Sub(m.progressAt) >= fairAge || float64(m.received) < fairRate*age.Seconds())
			if slow && (largest == nil || m.held > largest.held) {
				largest = m
			}
		}
	}
	return largest
}

// Release returns the bytes of a member to the budget.
func (r *Rule) Release(m *Member) {
	r.held -= m.held
	m.held = 0
}

// Writing records the start of a write, or its end if now is zero.
func (r *Rule) Writing(m *Member, now time.Time) { m.writingAt = now }

// Overdue removes and returns the members whose time has passed. It returns none if it
// is called late, because clients and handlers have had no chance to make progress
// meanwhile, but not twice in a row.
func (r *Rule) Overdue(now time.Time) []Closing {
	late := !r.sweptAt.IsZero() && now.Sub(r.sweptAt) > lateSweep
	r.sweptAt, r.skipped = now, late && !r.skipped
	if r.skipped {
		return nil
	}
	var overdue []Closing
	for _, g := range r.groups {
		for m := range g.members {
			if reason := r.overdue(m, now); reason != "" {
				r.leave(m)
				overdue = append(overdue, Closing{m, reason})
			}
		}
	}
	return overdue
}

func (r *Rule) overdue(m *Member, now time.Time) Reason {
	age := now.Sub(m.since)
	if !m.writingAt.IsZero() && now.Sub(m.writingAt) > r.Limits.IdleTimeout {
		return ResponseTimeout
	}
	if r.draining && m.kind() > idle && age > fairAge {
		return Stopping
	}
	switch m.phase {
	case Fresh, Idle:
		if age > r.Limits.IdleTimeout {
			return IdleTimeout
		}
	case Head:
		if age > r.Limits.HeadTimeout {
			return HeadTimeout
		}
	case Body:
		if now.Sub(m.progressAt) > r.Limits.IdleTimeout || age > r.bodyTime(m) {
			return BodyTimeout
		}
	case Finishing:
		if m.writingAt.IsZero() && age > finishTimeout {
			return BodyTimeout
		}
	}
	return ""
}

// bodyTime returns how long a body may take.
func (r *Rule) bodyTime(m *Member) time.Duration {
	bytes, connections := float64(r.budget.Bytes-r.budget.Reserve), float64(m.group.Limit)
	if !r.draining && float64(r.held) < pressureShare*bytes && float64(len(m.group.members)) < pressureShare*connections {
		return longestBody
	}
	return min(longestBody, leastRateGrace+time.Duration(m.received)*time.Second/leastRate)
}
