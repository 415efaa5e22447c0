package storage_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/node"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/storage"
)

// group runs nodes on real folders with an in-process transport.
type group struct {
	mu              sync.Mutex
	root            string
	core            consensus.Options
	segment         int64  // bytes; 0 is the default
	lastOperationID string // operation ID of the last accepted change
	lastBaseVersion uint64 // base version of the last accepted change
	names           []string
	seeds           []string // initial voters; if set, others join as learners. If empty, all names are the peers.
	instances       map[string]*instance
	isolated        map[string]bool
	side            map[string]bool // cut off from all others, not from each other
	sent            atomic.Int64    // bytes
	messages        atomic.Int64
	written         atomic.Int64 // bytes
}

type instance struct {
	node  *node.Node
	store *sysstate.Store
	disk  *storage.Disk
	fs    *fullFS
	stop  context.CancelFunc
}

// transport is the in-process transport of one instance.
type transport struct {
	group *group
	from  string
}

func (t transport) Send(peer string, data []byte) {
	t.group.mu.Lock()
	target := t.group.instances[peer]
	isolated := t.group.isolated[peer] || t.group.isolated[t.from] || t.group.side[peer] != t.group.side[t.from]
	t.group.mu.Unlock()
	t.group.sent.Add(int64(len(data)))
	t.group.messages.Add(1)
	if target != nil && !isolated {
		target.node.Receive(t.from, data)
	}
}

// fullFS is a folder whose disk can be made to appear full.
type fullFS struct {
	*storage.Folder
	mu      sync.Mutex
	full    bool
	written *atomic.Int64
}

type fullFile struct {
	storage.File
	fs *fullFS
}

func (f *fullFS) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func (f *fullFS) Create(name string) (storage.File, error) {
	file, err := f.Folder.Create(name)
	return &fullFile{File: file, fs: f}, err
}

func (f *fullFS) Append(name string) (storage.File, error) {
	file, err := f.Folder.Append(name)
	return &fullFile{File: file, fs: f}, err
}

// Write writes half of the data when the disk is full.
func (f *fullFile) Write(data []byte) (int, error) {
	f.fs.mu.Lock()
	full := f.fs.full
	f.fs.mu.Unlock()
	if !full {
		f.fs.written.Add(int64(len(data)))
		return f.File.Write(data)
	}
	n, _ := f.File.Write(data[:len(data)/2])
	return n, syscall.ENOSPC
}

func newGroup(names ...string) *group {
	g := startGroup(GinkgoT().TempDir(), names,
		consensus.Options{ElectionTimeout: 300 * time.Millisecond, SnapshotEntries: 100, TrailingEntries: 10})
	DeferCleanup(g.stop)
	return g
}

func startGroup(root string, names []string, core consensus.Options) *group {
	g := &group{root: root, names: names, core: core, instances: map[string]*instance{}, isolated: map[string]bool{}}
	if core.SnapshotEntries != 0 {
		g.segment = 4 << 10
	}
	for _, name := range names {
		g.start(name)
	}
	return g
}

func (g *group) stop() {
	for _, name := range g.names {
		g.stopInstance(name)
	}
}

func (g *group) start(name string) {
	folder, err := storage.OpenFolder(filepath.Join(g.root, name))
	Expect(err).NotTo(HaveOccurred())
	fs := &fullFS{Folder: folder, written: &g.written}
	disk, persisted, err := storage.Open(storage.Options{FS: fs, Instance: name, SegmentBytes: g.segment})
	Expect(err).NotTo(HaveOccurred())
	store := sysstate.NewStore()
	ctx, stop := context.WithCancel(context.Background())
	options := node.Options{
		Name: name, Incarnation: disk.Incarnation(), Peers: g.names, Persisted: persisted,
		Core: g.core, Storage: disk, Transport: transport{group: g, from: name}, StateMachine: store,
	}
	if len(g.seeds) > 0 {
		options.Peers, options.DisableBootstrap = g.seeds, !slices.Contains(g.seeds, name)
		options.AdmitNonPeers, options.DesiredVoters, options.ReplaceAfter = true, func() int { return len(g.seeds) }, time.Second
	}
	n, err := node.Start(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[name] = &instance{node: n, store: store, disk: disk, fs: fs, stop: stop}
}

// stopInstance shuts an instance down cleanly.
func (g *group) stopInstance(name string) {
	g.mu.Lock()
	i := g.instances[name]
	delete(g.instances, name)
	g.mu.Unlock()
	if i == nil {
		return
	}
	i.stop()
	Expect(i.node.Wait()).To(Succeed())
	Expect(i.disk.Close()).To(Succeed())
}

func (g *group) get(name string) *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[name]
}

// leader waits for a leader that has committed an entry in its term.
func (g *group) leader() (string, *instance) {
	var found string
	Eventually(func() bool {
		for _, name := range g.names {
			i := g.get(name)
			if i != nil && i.node.Status().CommittedInTerm && !g.isIsolated(name) {
				found = name
				return true
			}
		}
		return false
	}, time.Minute).Should(BeTrue(), "no leader")
	return found, g.get(found)
}

// change applies a configuration change and returns its version. As operators
// do, it resends an unanswered command unchanged, at another leader when
// needed, and makes a new one after a version conflict.
func (g *group) change(id string) uint64 {
	_, leader := g.leader()
	base, attempt := leader.store.Version(), 0
	operation := id
	var answer *sysstate.Answer
	Eventually(func(ok Gomega) {
		_, leader := g.leader()
		var err error
		answer, err = applyConfig(leader, base, operation)
		ok.Expect(err).NotTo(HaveOccurred())
		if answer.Status == sysstate.Status_STATUS_VERSION_CONFLICT {
			attempt++
			base, operation = answer.Version, fmt.Sprintf("%s-%d", id, attempt)
		}
		ok.Expect(answer.Status).To(Equal(sysstate.Status_STATUS_OK), answer.Message)
	}, time.Minute).Should(Succeed())
	g.lastOperationID, g.lastBaseVersion = operation, base
	return answer.Version
}

func applyConfig(i *instance, base uint64, id string) (*sysstate.Answer, error) {
	command, err := sysstate.EncodeCommand(&sysstate.Command{
		OperationId: id,
		Body: &sysstate.Command_ApplyConfig{ApplyConfig: &sysstate.ApplyConfig{
			BaseVersion: base, Config: []byte(`{"classes":{"prints":{"name":"prints"}}}`), Author: "ada", Summary: id,
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	data, err := i.node.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return sysstate.DecodeAnswer(data)
}

func (g *group) expectVersion(version uint64) {
	for _, name := range g.names {
		if i := g.get(name); i != nil {
			Eventually(i.store.Version, time.Minute).Should(Equal(version), name)
		}
	}
}

// loseDisk stops an instance and empties its folder.
func (g *group) loseDisk(name string) {
	g.stopInstance(name)
	Expect(os.RemoveAll(filepath.Join(g.root, name))).To(Succeed())
}

func (g *group) expectVoter(name string) {
	Eventually(func(ok Gomega) {
		_, leader := g.leader()
		status := leader.node.Status()
		ok.Expect(status.Voters).To(ConsistOf(g.names))
		ok.Expect(status.Learners).To(BeEmpty())
		ok.Expect(g.get(name).node.Status().Member).To(BeTrue())
		ok.Expect(g.get(name).node.Leader()).NotTo(BeEmpty())
	}, time.Minute).Should(Succeed())
}

var _ = Describe("A group that admits instances", func() {
	voters := func(g *group) func() []string {
		return func() []string {
			_, leader := g.leader()
			return leader.node.Status().Voters
		}
	}

	// Guards against a voter that is lost for good and not replaced, so that the
	// next loss ends the majority, and against more voters than are wanted.
	It("promotes a learner in place of a voter that stays unreachable", func() {
		g := admittingGroup(300 * time.Millisecond)
		g.start("d")
		Eventually(voters(g), time.Minute).Should(ConsistOf("a", "b", "c"))
		Expect(g.change("op-1")).To(Equal(uint64(1)))
		Eventually(func() []string {
			_, leader := g.leader()
			return leader.node.Status().Learners
		}, time.Minute).Should(ConsistOf("d"))
		g.loseDisk("c")
		Eventually(voters(g), time.Minute).Should(ConsistOf("a", "b", "d"))
		Expect(g.change("op-2")).To(Equal(uint64(2)))
		g.stopInstance("a")
		Expect(g.change("op-3")).To(Equal(uint64(3)))
		g.start("c")
		g.expectVersion(3)
	})

	// Guards against an added instance that stays outside of the log for good, because the
	// leader that it follows has lost its term before the addition was committed.
	It("admits an instance again whose addition was lost with the leader", func() {
		g := admittingGroup(2 * time.Second) // the leader adds d before it steps down
		Expect(g.change("before")).To(Equal(uint64(1)))
		g.addDuringSplit()
		g.setSide()
		Expect(g.change("after")).To(BeNumerically(">", 1))
		Eventually(func(ok Gomega) {
			_, leader := g.leader()
			ok.Expect(leader.node.Status().Learners).To(ConsistOf("d"))
			ok.Expect(g.get("d").store.Version()).To(Equal(leader.store.Version()))
		}, time.Minute).Should(Succeed())
	})
})

// admittingGroup starts a group of a, b and c, which admits d.
func admittingGroup(electionTimeout time.Duration) *group {
	g := &group{
		root: GinkgoT().TempDir(), names: []string{"a", "b", "c", "d"}, seeds: []string{"a", "b", "c"},
		core:      consensus.Options{ElectionTimeout: electionTimeout},
		instances: map[string]*instance{}, isolated: map[string]bool{},
	}
	DeferCleanup(g.stop)
	for _, name := range g.seeds {
		g.start(name)
	}
	return g
}

// setSide cuts instances off from all others, or ends the split if there are none.
func (g *group) setSide(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.side = map[string]bool{}
	for _, name := range names {
		g.side[name] = true
	}
}

// addDuringSplit starts d on the side of the leader, which cannot commit its addition,
// and waits until the other side has a leader, which does not know d.
func (g *group) addDuringSplit() {
	old, _ := g.leader()
	g.setSide(old, "d")
	g.start("d")
	Eventually(func() string { return g.get("d").node.Leader() }, time.Minute, time.Millisecond).Should(Equal(old))
	Eventually(func() bool {
		return slices.ContainsFunc(g.seeds, func(name string) bool {
			return name != old && g.get(name).node.Status().CommittedInTerm
		})
	}, time.Minute).Should(BeTrue(), "the larger side has no leader")
}

var _ = Describe("A group of nodes on disks", func() {
	// Guards against changes that are lost or applied twice by a restart from the log
	// and snapshots.
	It("keeps every acknowledged change when all instances restart after 500 changes", func() {
		g := newGroup("a", "b", "c")
		for i := range 500 {
			Expect(g.change(fmt.Sprintf("op-%d", i))).To(Equal(uint64(i + 1)))
		}
		operation, base := g.lastOperationID, g.lastBaseVersion
		for _, name := range g.names {
			g.stopInstance(name)
		}
		for _, name := range g.names {
			g.start(name)
		}
		Expect(g.change("after")).To(Equal(uint64(501)))
		g.expectVersion(501)
		_, leader := g.leader()
		answer, err := applyConfig(leader, 77, operation)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(sysstate.Status_STATUS_REUSED_OPERATION_ID))
		answer, err = applyConfig(leader, base, operation)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Repeated).To(BeTrue(), "a resend must get the first answer")
		Expect(answer.Version).To(Equal(uint64(500)))
	})

	// Guards against acknowledged changes that are lost because a recovered voter
	// joins the majority without them.
	It("survives the loss of a second disk right after recovery from the first", func() {
		g := newGroup("a", "b", "c")
		for i := range 150 {
			g.change(fmt.Sprintf("op-%d", i))
		}
		for round, name := range []string{"c", "b", "a"} {
			version := g.change(fmt.Sprintf("before-%d", round))
			old := g.get(name).disk.Incarnation()
			g.loseDisk(name)
			g.start(name)
			Expect(g.get(name).disk.Incarnation()).NotTo(Equal(old))
			g.expectVoter(name)
			g.expectVersion(version)
		}
		Expect(g.change("after")).To(Equal(uint64(154)))
	})

	// Guards against a group that cannot restart without one voter's log, and against
	// an old log that the returning voter restores over newer entries.
	It("restarts as a whole while one disk is lost, and accepts the old disk later", func() {
		g := newGroup("a", "b", "c")
		for i := range 150 {
			g.change(fmt.Sprintf("op-%d", i))
		}
		for _, name := range g.names {
			g.stopInstance(name)
		}
		kept := filepath.Join(g.root, "kept")
		Expect(os.Rename(filepath.Join(g.root, "c"), kept)).To(Succeed())
		for _, name := range g.names {
			g.start(name)
		}
		g.expectVoter("c")
		version := g.change("after the loss")
		g.expectVersion(version)

		g.loseDisk("c")
		Expect(os.Rename(kept, filepath.Join(g.root, "c"))).To(Succeed())
		g.start("c")
		g.expectVersion(version)
		g.expectVoter("c")
		Expect(g.get("c").disk.OpenResult()).To(Equal(storage.Intact))
		Expect(g.change("after the return")).To(Equal(version + 1))
	})

	// Guards against an election that a reconnected instance forces.
	It("reconnects an isolated instance without a new term", func() {
		g := newGroup("a", "b", "c")
		g.change("first")
		leader, _ := g.leader()
		isolated := "a"
		if leader == "a" {
			isolated = "b"
		}
		g.setIsolated(isolated, true)
		Eventually(func() consensus.Role { return g.get(isolated).node.Status().Role }, time.Minute).
			Should(Equal(consensus.PreCandidate))
		version := g.change("second")
		term := g.get(leader).node.Status().Term
		g.setIsolated(isolated, false)
		Eventually(g.get(isolated).store.Version, time.Minute).Should(Equal(version))
		Expect(g.get(leader).node.Status().Term).To(Equal(term), "the returning instance forced an election")
	})

	// Guards against a leader that keeps the leadership although it cannot write. It
	// does not check the result of the change on the full disk.
	It("transfers leadership on a full disk, and continues when there is space", func() {
		g := newGroup("a", "b", "c")
		g.change("first")
		name, leader := g.leader()
		leader.fs.setFull(true)
		go func() {
			defer GinkgoRecover()
			applyConfig(leader, 1, "on full disk")
		}()
		Eventually(func() string {
			next, _ := g.leader()
			return next
		}, time.Minute).ShouldNot(Equal(name), "the leader with the full disk kept the leadership")
		version := g.change("second")
		leader.fs.setFull(false)
		Eventually(leader.store.Version, time.Minute).Should(BeNumerically(">=", version))
	})

	// Guards against a transfer that leaves the group without a leader, or with another
	// one than requested.
	It("transfers leadership on request", func() {
		g := newGroup("a", "b", "c")
		g.change("first")
		name, leader := g.leader()
		to := map[string]string{"a": "b", "b": "c", "c": "a"}[name]
		Expect(leader.node.TransferLeadership(context.Background(), to)).To(Succeed())
		Eventually(func() bool { return g.get(to).node.Status().CommittedInTerm }, time.Minute).Should(BeTrue())
		Expect(g.change("second")).To(Equal(uint64(2)))
		Expect(g.get(to).node.TransferLeadership(context.Background(), "")).To(Succeed())
		Eventually(func() bool { return g.get(to).node.Status().CommittedInTerm }, time.Minute).Should(BeFalse())
		Expect(g.change("third")).To(Equal(uint64(3)))
	})
})

func (g *group) setIsolated(name string, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[name] = isolated
}

func (g *group) isIsolated(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolated[name]
}
