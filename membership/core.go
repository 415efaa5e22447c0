package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is the failure detector of one instance. The invariants are:
//
//   - The incarnation of a member never decreases, nor its status within one.
//   - Only the instance itself raises its incarnation.
//   - live holds exactly the members that are alive or suspected, and this
//     instance until it leaves.
type Core struct {
	opts Options
	rng  *rand.Rand
	now  time.Time
	self Update

	members      map[string]*member
	live         []string // in order of names
	probeOrder   []string // other live members, in probe order
	nextProbe    int      // index in probeOrder
	lastRepeated int      // index in probeOrder of the member that was repeated last
	urgent       []string // members to probe before the next in probeOrder

	probe           *probe
	sequence        uint64
	probeAt         time.Time
	probeDeadAt     time.Time
	suspects        []suspicion     // in order of time
	recentlyRemoved []removedMember // in order of time
	gossip          gossip
	clocks          []clockSample
	skewed          bool
	synced          bool // a Sync has arrived
	effects         []Effect
}

// member is the state of another instance as seen by this one.
type member struct {
	Update
	lastContact time.Time // last message or heartbeat from it
}

type suspicion struct {
	Update
	since time.Time
}

type removedMember struct {
	name string
	at   time.Time
}

// New returns a core whose only member is its own instance.
func New(opts Options) *Core {
	return &Core{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		self:    Update{Name: opts.Instance, Incarnation: opts.Incarnation, Status: Alive},
		members: make(map[string]*member),
		live:    []string{opts.Instance},
		gossip:  newGossip(),
	}
}

// Live returns the names of the members that are alive or suspected, this
// instance included, in order. It must not be changed and is valid until the
// next Step.
func (c *Core) Live() []string { return c.live }

// Step processes one event.
func (c *Core) Step(now time.Time, ev Event) {
	c.now = now
	switch e := ev.(type) {
	case PeerFound:
		c.merge(Update{Name: e.Peer, Incarnation: e.Incarnation, Status: Alive})
	case HeartbeatReceived:
		c.recordContact(e.Peer)
	case LinkLost:
		c.queueUrgentProbe(e.Peer)
	case MessageReceived:
		c.messageReceived(&e.Message)
	case Leave:
		c.leave()
	case Tick:
	}
	c.runDueChecks()
}

// Ready returns the effects since the last call, in order.
func (c *Core) Ready() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

// NextWake returns when the next Tick is due, or false if none is.
func (c *Core) NextWake() (time.Time, bool) {
	if c.self.Status != Alive {
		return time.Time{}, false
	}
	if c.probe != nil && !c.probe.indirect && !c.probe.contacted {
		return c.probe.sentAt.Add(ackTimeout), true
	}
	return c.probeAt, true
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// mergeAndGossip applies an update and gossips it if it is new.
func (c *Core) mergeAndGossip(u Update) {
	if c.merge(u) {
		c.gossip.add(u)
	}
}

// merge applies an update and reports whether it is new.
func (c *Core) merge(u Update) bool {
	if u.Name == c.opts.Instance {
		c.refute(u)
		return false
	}
	m := c.members[u.Name]
	if m != nil && !u.newerThan(m.Update) {
		return false
	}
	if m == nil && !u.live() {
		return false
	}
	wasLive := m != nil && m.live()
	if m == nil {
		m = &member{}
		c.members[u.Name] = m
	}
	m.Update = u
	c.memberChanged(m, wasLive)
	return true
}

// memberChanged updates the view and the suspicions after a change of a member.
func (c *Core) memberChanged(m *member, wasLive bool) {
	if m.Status == Suspect {
		c.suspects = append(c.suspects, suspicion{m.Update, c.now})
		c.emit(MemberSuspected{Name: m.Name})
		c.pingSuspect(m.Name)
	}
	switch {
	case m.live() && !wasLive:
		c.insert(m.Name)
		c.emit(MemberUp{Name: m.Name})
	case !m.live() && wasLive:
		c.remove(m.Name)
		c.recentlyRemoved = append(c.recentlyRemoved, removedMember{m.Name, c.now})
		c.emit(MemberDown{Name: m.Name, Left: m.Status == Left})
	}
}

// insert adds a member at a random place of probeOrder, so that a member is not
// probed at the same time by all instances that discovered it together.
func (c *Core) insert(name string) {
	if i, found := slices.BinarySearch(c.live, name); !found {
		c.live = slices.Insert(c.live, i, name)
	}
	at := c.rng.IntN(len(c.probeOrder) + 1)
	c.probeOrder = append(c.probeOrder, name)
	last := len(c.probeOrder) - 1
	c.probeOrder[at], c.probeOrder[last] = c.probeOrder[last], c.probeOrder[at]
}

func (c *Core) remove(name string) {
	if i, found := slices.BinarySearch(c.live, name); found {
		c.live = slices.Delete(c.live, i, i+1)
	}
	if i := slices.Index(c.probeOrder, name); i >= 0 {
		c.probeOrder = slices.Delete(c.probeOrder, i, i+1)
	}
}

// refute raises the incarnation if an update declares this instance suspected, dead
// or left.
func (c *Core) refute(u Update) {
	if u.Status == Alive || u.Incarnation < c.self.Incarnation || c.self.Status != Alive {
		return
	}
	c.self.Incarnation = u.Incarnation + 1
	c.gossip.add(c.self)
}
