package consensus_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/sysstate"
)

// simulation runs a group of cores in virtual time under a seeded schedule of
// faults. fail is called with the first violated invariant.
type simulation struct {
	random *rand.Rand
	now    time.Time
	queue  schedule
	order  int
	fail   func(format string, args ...any)

	names   []string
	members map[string]*member // by name
	blocked map[[2]string]bool // one-way, by names
	loss    float64            // probability that a message is lost
	repeat  float64            // probability that a message is delivered twice
	failed  bool

	leaders               map[uint64]string           // by term
	logged                map[[2]uint64]string        // contents and predecessor by (index, term)
	committed             map[uint64]*consensus.Entry // by index
	committedMembers      *consensus.Members          // newest
	committedMembersIndex uint64                      // of their entry
	versions              map[string]uint64           // highest version seen, by member ID
	clients               []*client
	stats                 struct{ crashes, diskLosses, memberChanges, snapshots, elections int }
}

// member is one instance: its disk survives a crash, its core does not.
type member struct {
	name        string
	incarnation int
	slowDisk    bool      // syncs take much longer than messages
	pausedUntil time.Time // the process is suspended until then
	disk        *fakeDisk
	core        *consensus.Core // nil while it is down
	machine     *sysstate.Machine
	applied     uint64
	generation  int // grows at each start and crash; events of earlier ones are dropped
	wake        time.Time
	pending     map[consensus.Ref]func(effect consensus.Effect)
	results     map[uint64]func(entry *consensus.Entry, answer *sysstate.Answer)
	reads       []pendingRead
	lastRef     consensus.Ref
}

type pendingRead struct {
	index uint64
	done  func()
}

func (m *member) id() string { return fmt.Sprintf("%s@%d", m.name, m.incarnation) }

type timer struct {
	at    time.Time
	order int
	run   func()
}

type schedule []timer

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(timer)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newSimulation(seed uint64, names []string, fail func(string, ...any)) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), fail: fail, names: names,
		members: map[string]*member{}, blocked: map[[2]string]bool{},
		leaders: map[uint64]string{}, logged: map[[2]uint64]string{},
		committed: map[uint64]*consensus.Entry{}, versions: map[string]uint64{},
	}
	var voters []string
	for _, name := range names {
		s.members[name] = &member{name: name, disk: new(fakeDisk)}
		voters = append(voters, s.members[name].id())
		s.start(name)
	}
	s.step(s.members[names[0]], consensus.Bootstrap{Voters: voters})
	return s
}

// after runs a function later in virtual time.
func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, timer{at: s.now.Add(delay), order: s.order, run: run})
}

// between returns a random duration in milliseconds.
func (s *simulation) between(low, high int) time.Duration {
	return time.Duration(low*1000+s.random.IntN((high-low)*1000+1)) * time.Microsecond
}

// runFor advances virtual time. It stops at the first violated invariant.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.failed && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.run()
	}
	if !s.failed {
		s.now = end
	}
}

func (s *simulation) violated(format string, args ...any) {
	if !s.failed {
		s.failed = true
		s.fail(format, args...)
	}
}

func (s *simulation) start(name string) {
	m := s.members[name]
	m.generation++
	m.machine, m.applied, m.wake, m.pausedUntil = sysstate.NewMachine(), 0, time.Time{}, time.Time{}
	m.pending, m.reads = map[consensus.Ref]func(consensus.Effect){}, nil
	m.results = map[uint64]func(*consensus.Entry, *sysstate.Answer){}
	m.core = consensus.New(consensus.Options{
		ID: m.id(), ElectionTimeout: 200 * time.Millisecond, HeartbeatInterval: 40 * time.Millisecond,
		SnapshotEntries: 20, TrailingEntries: 5, MaxBatchBytes: 400, MaxInFlight: 16, Seed: s.random.Uint64(),
	}, m.disk.durable)
	s.step(m, consensus.Tick{})
}

func (s *simulation) crash(name string) {
	m := s.members[name]
	if m.core == nil {
		return
	}
	s.stats.crashes++
	m.core = nil
	m.generation++
	m.disk.crash(s.random)
}

// loseDisk crashes an instance; it returns with an empty disk as another
// member.
func (s *simulation) loseDisk(name string) {
	s.crash(name)
	s.stats.diskLosses++
	m := s.members[name]
	m.incarnation++
	m.disk = new(fakeDisk)
}

// step passes an event to a core and executes its effects.
func (s *simulation) step(m *member, event consensus.Event) {
	if m.core == nil || s.failed {
		return
	}
	if s.now.Before(m.pausedUntil) {
		s.afterIfRunning(m, m.pausedUntil.Sub(s.now)+s.between(0, 5), func() { s.step(m, event) })
		return
	}
	m.core.Step(s.now, event)
	for _, effect := range m.core.Ready() {
		s.execute(m, effect)
	}
	if wake := m.core.NextWake(); !wake.IsZero() && !wake.Equal(m.wake) {
		m.wake = wake
		s.afterIfRunning(m, wake.Sub(s.now), func() {
			if m.wake.Equal(wake) {
				m.wake = time.Time{}
				s.step(m, consensus.Tick{})
			}
		})
	}
}

// afterIfRunning runs a function unless the member was restarted in between.
func (s *simulation) afterIfRunning(m *member, delay time.Duration, run func()) {
	generation := m.generation
	s.after(delay, func() {
		if m.generation == generation && m.core != nil {
			run()
		}
	})
}

func (s *simulation) execute(m *member, effect consensus.Effect) {
	switch e := effect.(type) {
	case consensus.SendMessage:
		s.send(m, e.Message)
	case consensus.Persist:
		s.checkLogMatching(m, e.Entries)
		m.disk.write(e)
		s.afterIfRunning(m, s.syncTime(m), func() {
			m.disk.sync(e.Sequence)
			s.step(m, consensus.Synced{Sequence: e.Sequence})
		})
	case consensus.Apply:
		for _, entry := range e.Entries {
			s.apply(m, entry)
		}
	case consensus.InstallSnapshot:
		s.install(m, e.Snapshot)
	case consensus.TakeSnapshot:
		s.afterIfRunning(m, s.between(0, 20), func() { s.takeSnapshot(m) })
	case consensus.Proposed:
		s.deliverResult(m, e.Ref, e)
	case consensus.ReadReady:
		s.deliverResult(m, e.Ref, e)
	case consensus.Refused:
		s.deliverResult(m, e.Ref, e)
	case consensus.Failed:
		s.violated("%s: %v", m.id(), e.Err)
	case consensus.StatusChanged:
		s.checkLeader(e.Status, m)
	}
}

func (s *simulation) syncTime(m *member) time.Duration {
	if m.slowDisk {
		return s.between(20, 600)
	}
	return s.between(1, 15)
}

func (s *simulation) takeSnapshot(m *member) {
	data, err := m.machine.Snapshot()
	if err != nil {
		s.violated("snapshot: %v", err)
	}
	s.stats.snapshots++
	s.step(m, consensus.SnapshotTaken{Index: m.applied, Data: data})
}

func (s *simulation) deliverResult(m *member, ref consensus.Ref, effect consensus.Effect) {
	if done := m.pending[ref]; done != nil {
		delete(m.pending, ref)
		done(effect)
	}
}

// request steps a request and calls done with its result.
func (s *simulation) request(m *member, event func(consensus.Ref) consensus.Event, done func(consensus.Effect)) {
	m.lastRef++
	m.pending[m.lastRef] = done
	s.step(m, event(m.lastRef))
}

func (s *simulation) send(from *member, message *consensus.Message) {
	data, err := consensus.Encode(message)
	if err != nil {
		s.violated("encode: %v", err)
	}
	for range 2 {
		if s.random.Float64() >= s.loss {
			s.after(s.between(1, 12), func() { s.deliver(from.name, message.To, data) })
		}
		if s.random.Float64() >= s.repeat {
			return
		}
	}
}

func (s *simulation) deliver(from, to string, data []byte) {
	for _, m := range s.members {
		if m.id() != to || s.blocked[[2]string{from, m.name}] {
			continue
		}
		message, err := consensus.Decode(data)
		if err != nil {
			s.violated("decode: %v", err)
		}
		s.step(m, consensus.Receive{Message: message})
	}
}

func (s *simulation) apply(m *member, entry *consensus.Entry) {
	if entry.Index != m.applied+1 {
		s.violated("%s applied entry %d after %d", m.id(), entry.Index, m.applied)
	}
	s.checkCommitted(m, entry)
	m.applied = entry.Index
	var answer *sysstate.Answer
	if entry.Kind == consensus.EntryKind_ENTRY_KIND_COMMAND {
		answer = m.machine.Apply(sysstate.Context{Term: entry.Term, Clock: time.Duration(entry.ClockNs)}, entry.Data)
	}
	s.checkVersion(m)
	if result := m.results[entry.Index]; result != nil {
		delete(m.results, entry.Index)
		result(entry, answer)
	}
	s.answerReads(m)
}

func (s *simulation) install(m *member, snapshot *consensus.Snapshot) {
	if err := m.machine.Restore(snapshot.Data); err != nil {
		s.violated("%s: restore: %v", m.id(), err)
	}
	m.applied = snapshot.Index
	s.checkVersion(m)
	s.answerReads(m)
}

func (s *simulation) answerReads(m *member) {
	waiting := m.reads
	m.reads = nil
	for _, read := range waiting {
		if read.index > m.applied {
			m.reads = append(m.reads, read)
			continue
		}
		read.done()
	}
}

// checkLeader checks that a term has at most one leader.
func (s *simulation) checkLeader(status consensus.Status, m *member) {
	if status.Role != consensus.Leader {
		return
	}
	if other, known := s.leaders[status.Term]; known && other != m.id() {
		s.violated("term %d has two leaders: %s and %s", status.Term, other, m.id())
	} else if !known {
		s.leaders[status.Term] = m.id()
		s.stats.elections++
	}
}

// checkLogMatching checks that entries with equal index and term are equal and
// follow entries of the same term, in all logs.
func (s *simulation) checkLogMatching(m *member, entries []*consensus.Entry) {
	for i, entry := range entries {
		contents := fmt.Sprintf("%d %s %v", entry.Kind, entry.Data, entry.Members)
		key := [2]uint64{entry.Index, entry.Term}
		if i > 0 {
			before := [2]uint64{entries[i-1].Index, entries[i-1].Term}
			withPredecessor := fmt.Sprintf("%v after %v", contents, before)
			contents = withPredecessor
		} else {
			contents += " after "
		}
		earlier, found := s.logged[key]
		if found && !sameContents(earlier, contents) {
			s.violated("%s: entry %v differs: %q and %q", m.id(), key, earlier, contents)
		}
		if !found || len(contents) > len(earlier) {
			s.logged[key] = contents
		}
	}
}

// sameContents compares contents; the predecessor may be unknown on one side.
func sameContents(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	return a == b || (a[len(a)-1] == ' ' && b[:len(a)] == a)
}

// checkCommitted checks that all members apply the same entry at each index.
func (s *simulation) checkCommitted(m *member, entry *consensus.Entry) {
	known := s.committed[entry.Index]
	if known != nil && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		s.violated("%s applied entry %d of term %d, but term %d was committed there",
			m.id(), entry.Index, entry.Term, known.Term)
	}
	s.committed[entry.Index] = entry
	if entry.Members != nil && entry.Index > s.committedMembersIndex {
		s.committedMembers, s.committedMembersIndex = entry.Members, entry.Index
	}
}

// checkVersion records the highest version of a member, which must not decrease
// at a restart. A restart begins with version 0 and has restored its version
// when the first effects are executed.
func (s *simulation) checkVersion(m *member) {
	version := m.machine.Version()
	s.versions[m.id()] = max(s.versions[m.id()], version)
}

// restart starts an instance and checks that its version did not decrease.
func (s *simulation) restart(name string) {
	m := s.members[name]
	if m.core != nil {
		return
	}
	s.start(name)
	if version := m.machine.Version(); version < s.versions[m.id()] {
		s.violated("%s restarted with version %d after it had run version %d", m.id(), version, s.versions[m.id()])
	}
}

// leader returns the leader of the highest term, or nil.
func (s *simulation) leader() *member {
	var found *member
	for _, name := range s.names {
		m := s.members[name]
		if m.core == nil || m.core.Status().Role != consensus.Leader {
			continue
		}
		if found == nil || m.core.Status().Term > found.core.Status().Term {
			found = m
		}
	}
	return found
}

// mayLoseDisk reports whether every voter has its disk and no membership
// change is in progress, so that the group tolerates the loss of one disk.
func (s *simulation) mayLoseDisk() bool {
	if len(s.committedMembers.GetVoters()) < 3 {
		return false
	}
	intact := 0
	for _, name := range s.names {
		m := s.members[name]
		if s.committedMembers.HasVoter(m.id()) {
			intact++
		}
		if m.core != nil && !slices.Equal(m.core.Status().Members.GetVoters(), s.committedMembers.Voters) &&
			s.committedMembers.HasVoter(m.id()) {
			return false
		}
	}
	return intact == len(s.committedMembers.Voters)
}
