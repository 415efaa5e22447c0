package storage_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
	"hawthornshore.example/storage"
)

// effectGenerator produces Persist effects as a core does.
type effectGenerator struct {
	random   *rand.Rand
	sequence uint64
	hard     *consensus.HardState
	snapshot *consensus.Snapshot
	entries  []*consensus.Entry // after the snapshot
}

func newEffectGenerator(seed uint64) *effectGenerator {
	return &effectGenerator{random: rand.New(rand.NewPCG(seed, 5)), hard: &consensus.HardState{Term: 1}, snapshot: &consensus.Snapshot{}}
}

// restart returns a generator that continues from the restored state, in a term
// that is newer than all of its parts, as a core does.
func restart(g *effectGenerator, p consensus.PersistentState) *effectGenerator {
	next := &effectGenerator{random: g.random, snapshot: &consensus.Snapshot{}, entries: p.Entries}
	if p.Snapshot != nil {
		next.snapshot = p.Snapshot
	}
	next.hard = &consensus.HardState{
		Term:   max(p.Hard.GetTerm(), next.snapshot.Term) + 1,
		Commit: max(p.Hard.GetCommit(), next.snapshot.Index),
	}
	if len(p.Entries) > 0 {
		next.hard.Term = max(next.hard.Term, p.Entries[len(p.Entries)-1].Term+1)
	}
	return next
}

func (g *effectGenerator) last() uint64 { return g.snapshot.Index + uint64(len(g.entries)) }

func (g *effectGenerator) next() consensus.Persist {
	g.sequence++
	p := consensus.Persist{Sequence: g.sequence}
	switch g.random.IntN(8) {
	case 0:
		p.Snapshot = g.ownSnapshot()
	case 1:
		p.Snapshot, p.Reset = g.leaderSnapshot(), true
	case 2, 3:
		g.truncate()
		p.Entries = g.append()
	default:
		p.Entries = g.append()
	}
	if g.random.IntN(2) == 0 || p.Reset {
		g.hard = &consensus.HardState{Term: g.hard.Term, Vote: "a", Commit: g.hard.Commit}
		g.hard.Commit += uint64(g.random.IntN(int(g.last()-g.hard.Commit) + 1))
		p.Hard = g.hard
	}
	return p
}

func (g *effectGenerator) append() []*consensus.Entry {
	var added []*consensus.Entry
	for range 1 + g.random.IntN(4) {
		entry := &consensus.Entry{Index: g.last() + 1, Term: g.hard.Term, Data: make([]byte, g.random.IntN(60))}
		g.entries = append(g.entries[:len(g.entries):len(g.entries)], entry)
		added = append(added, entry)
	}
	return added
}

// truncate removes uncommitted entries, as a new leader does.
func (g *effectGenerator) truncate() {
	keep := g.hard.Commit - min(g.hard.Commit, g.snapshot.Index)
	keep += uint64(g.random.IntN(len(g.entries) - int(keep) + 1))
	g.entries = g.entries[:keep:keep]
	g.hard = &consensus.HardState{Term: g.hard.Term + 1, Commit: g.hard.Commit}
}

func (g *effectGenerator) ownSnapshot() *consensus.Snapshot {
	index := max(g.hard.Commit, g.snapshot.Index)
	if index == g.snapshot.Index {
		return nil
	}
	last := g.entries[index-g.snapshot.Index-1]
	g.entries = g.entries[index-g.snapshot.Index:]
	g.snapshot = &consensus.Snapshot{Index: index, Term: last.Term, Data: []byte("own")}
	return g.snapshot
}

// leaderSnapshot returns a snapshot that the instance received from its leader.
func (g *effectGenerator) leaderSnapshot() *consensus.Snapshot {
	g.hard = &consensus.HardState{Term: g.hard.Term + 1, Commit: g.hard.Commit}
	index := g.hard.Commit + 1 + uint64(g.random.IntN(5))
	g.snapshot = &consensus.Snapshot{Index: index, Term: g.hard.Term, Data: []byte("foreign")}
	g.entries, g.hard.Commit = nil, index
	return g.snapshot
}

// folderState is the contents of a data folder in a comparable form.
type folderState struct {
	hard, snapshot, entries string
}

// comparableParts omits the data of entries and snapshots.
func comparableParts(hard *consensus.HardState, snapshot *consensus.Snapshot, entries []*consensus.Entry) folderState {
	s := folderState{snapshot: fmt.Sprint(snapshot.GetIndex(), snapshot.GetTerm())}
	if hard != nil {
		s.hard = fmt.Sprint(hard.Term, hard.Vote, hard.Commit)
	}
	for _, entry := range entries {
		s.entries += fmt.Sprint(entry.Index, ".", entry.Term, " ")
	}
	return s
}

// crashStates returns the states that a crash during the effects may leave.
func crashStates(from consensus.PersistentState, batch []consensus.Persist) []consensus.PersistentState {
	states := []consensus.PersistentState{from}
	current := from
	add := func() { states = append(states, current) }
	for _, p := range batch {
		if p.Snapshot != nil {
			current.Snapshot = p.Snapshot
			for len(current.Entries) > 0 && current.Entries[0].Index <= p.Snapshot.Index {
				current.Entries = current.Entries[1:]
			}
			if p.Reset {
				current.Entries = nil
			}
			add()
		}
		for _, entry := range p.Entries {
			keep := entry.Index - current.Snapshot.GetIndex() - 1
			current.Entries = append(current.Entries[:keep:keep], entry)
			add()
		}
		if p.Hard != nil {
			current.Hard = proto.CloneOf(p.Hard)
			add()
		}
	}
	return states
}

// open uses segments of 400 bytes, so that a few effects fill one.
func open(fs storage.FileSystem) (*storage.Disk, consensus.PersistentState) {
	disk, persisted, err := storage.Open(storage.Options{FS: fs, Instance: "a", SegmentBytes: 400})
	Expect(err).NotTo(HaveOccurred())
	return disk, persisted
}

// fill saves batches of two effects each into a folder and closes it.
func fill(fs storage.FileSystem, seed uint64, batches int) *effectGenerator {
	disk, _ := open(fs)
	g := newEffectGenerator(seed)
	for range batches {
		Expect(disk.Save([]consensus.Persist{g.next(), g.next()})).To(Succeed())
	}
	Expect(disk.Close()).To(Succeed())
	return g
}

func comparableState(p consensus.PersistentState) folderState {
	return comparableParts(p.Hard, p.Snapshot, p.Entries)
}

var _ = Describe("A data folder", func() {
	// Guards against a crash that loses an acknowledged effect or leaves a state that
	// no prefix of the effects explains. 400 seeds with up to 6 crashes each.
	It("restores every acknowledged effect after a crash at any operation", func() {
		for seed := range uint64(400) {
			fs, g := newFakeFS(seed), newEffectGenerator(seed)
			disk, durable := open(fs)
			for round := 0; round < 6; round++ {
				fs.crashAt = fs.operations + fs.random.IntN(60)
				var possible []folderState
				for {
					batch := []consensus.Persist{g.next(), g.next(), g.next()}
					after := crashStates(durable, batch)
					if disk.Save(batch) != nil {
						for _, s := range after {
							possible = append(possible, comparableState(s))
						}
						break
					}
					durable = after[len(after)-1]
				}
				Expect(disk.Save(nil)).To(MatchError(storage.ErrBroken))
				fs.crash()
				var restored consensus.PersistentState
				disk, restored = open(fs)
				if disk.OpenResult() != storage.Intact {
					Expect(durable.Empty()).To(BeTrue(), "seed %d: the log was lost", seed)
					break
				}
				Expect(possible).To(ContainElement(comparableState(restored)), "seed %d round %d", seed, round)
				durable = restored
				g = restart(g, restored)
			}
		}
	})

	// Guards against records of a failed call that stay in the log or are lost with
	// the retry. It does not crash between a failed call and its retry.
	It("reports a full disk and restores everything after the retry", func() {
		rejected := 0
		for seed := range uint64(100) {
			fs, g := newFakeFS(seed), newEffectGenerator(seed)
			disk, _ := open(fs)
			fs.diskFull = 0.2
			for range 20 {
				batch := []consensus.Persist{g.next(), g.next()}
				err := disk.Save(batch)
				for ; err != nil; err = disk.Save(batch) {
					Expect(err).To(MatchError(consensus.ErrDiskFull))
					full := new(storage.DiskFullError)
					Expect(errors.As(err, &full)).To(BeTrue())
					rejected++
				}
			}
			fs.diskFull = 0
			fs.crash()
			_, restored := open(fs)
			Expect(comparableState(restored).entries).To(Equal(comparableParts(nil, nil, g.entries).entries), "seed %d", seed)
			Expect(restored.Snapshot.GetIndex()).To(Equal(g.snapshot.Index))
		}
		Expect(rejected).To(BeNumerically(">", 100)) // the disk was full often enough
	})

	// Guards against damaged data that is truncated as a torn record or restored.
	It("reports a flipped bit with file and offset", func() {
		root := GinkgoT().TempDir()
		folder, err := storage.OpenFolder(root)
		Expect(err).NotTo(HaveOccurred())
		fill(folder, 1, 30)
		names, err := filepath.Glob(filepath.Join(root, "*.s*")) // segments (.seg) and the snapshot (.snap)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(names)).To(BeNumerically(">", 1))
		for _, name := range names {
			good, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			for offset := range good {
				bad := append([]byte(nil), good...)
				bad[offset] ^= 0x10
				Expect(os.WriteFile(name, bad, 0o600)).To(Succeed())
				_, _, err = storage.Open(storage.Options{FS: folder, Instance: "a"})
				corrupt := new(storage.CorruptionError)
				Expect(errors.As(err, &corrupt)).To(BeTrue(), "%s offset %d: %v", name, offset, err)
				Expect(corrupt.File).To(Equal(filepath.Base(name)))
				Expect(corrupt.Offset).To(BeNumerically("<=", offset))
			}
			Expect(os.WriteFile(name, good, 0o600)).To(Succeed())
		}
		open(folder)
	})

	// Guards against a log that is accepted although records in its middle or at its
	// end are missing.
	It("reports a missing segment and a log that ends before its commit index", func() {
		fs := newFakeFS(1)
		disk, _ := open(fs)
		for i := range uint64(4) {
			Expect(disk.Save([]consensus.Persist{{
				Sequence: i + 1, Entries: []*consensus.Entry{{Index: i + 1, Term: 1, Data: make([]byte, 300)}},
			}})).To(Succeed())
		}
		Expect(disk.Close()).To(Succeed())
		delete(fs.files, "log-0000000000000002.seg")
		_, _, err := storage.Open(storage.Options{FS: fs, Instance: "a"})
		Expect(err).To(MatchError(ContainSubstring("segment before it is missing")))

		fs = newFakeFS(1)
		disk, _ = open(fs)
		Expect(disk.Save([]consensus.Persist{{
			Sequence: 1, Entries: []*consensus.Entry{{Index: 1, Term: 1}}, Hard: &consensus.HardState{Term: 1, Commit: 2},
		}})).To(Succeed())
		Expect(disk.Close()).To(Succeed())
		_, _, err = storage.Open(storage.Options{FS: fs, Instance: "a"})
		Expect(err).To(MatchError(ContainSubstring("before the committed entry 2")))
	})

	// Guards against two processes that write to one folder.
	It("returns a LockedError while the folder is open", func() {
		folder, err := storage.OpenFolder(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		disk, _ := open(folder)
		_, _, err = storage.Open(storage.Options{FS: folder, Instance: "a"})
		locked := new(storage.LockedError)
		Expect(errors.As(err, &locked)).To(BeTrue())
		Expect(disk.Close()).To(Succeed())
		open(folder)
	})

	// Guards against an instance that takes part with a log that is lost or not its
	// own, and against a new incarnation of an unused folder at every start.
	It("distinguishes the states of a folder when it is opened", func() {
		fs := newFakeFS(1)
		disk, _ := open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Fresh))
		first := disk.Incarnation()
		Expect(disk.Close()).To(Succeed())
		disk, _ = open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Fresh))
		Expect(disk.Incarnation()).To(Equal(first), "an unused folder keeps its identity")
		Expect(disk.Close()).To(Succeed())
		fill(fs, 1, 3)
		disk, _ = open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Intact))
		Expect(disk.Close()).To(Succeed())

		other, _, err := storage.Open(storage.Options{FS: fs, Instance: "b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(other.OpenResult()).To(Equal(storage.Foreign))
		Expect(other.Incarnation()).NotTo(Equal(first))
		Expect(other.Close()).To(Succeed())

		fs = newFakeFS(2)
		fill(fs, 2, 3)
		identity := fs.files["identity"]
		for name := range fs.files {
			if name != "identity" {
				delete(fs.files, name)
			}
		}
		disk, persisted := open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.LogLost), "the identity has started and there is no log")
		Expect(persisted.Empty()).To(BeTrue())
		Expect(disk.Close()).To(Succeed())

		fs = newFakeFS(3)
		fill(fs, 3, 3)
		fs.files["identity"] = identity
		disk, _ = open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Foreign), "the log belongs to another identity")
	})

	// Guards against replaced files that fill the disk: 300 batches write many more
	// files than the 11 that may remain. It counts files of both kinds together.
	It("removes segments and snapshots that a newer snapshot replaces", func() {
		fs := newFakeFS(1)
		fill(fs, 4, 300)
		names, err := fs.List()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(names)).To(BeNumerically("<", 12), "%v", names)
	})

	// Guards against files that SetAside deletes or leaves where Open finds them.
	It("is empty after SetAside, which keeps the old files", func() {
		root := GinkgoT().TempDir()
		folder, err := storage.OpenFolder(root)
		Expect(err).NotTo(HaveOccurred())
		fill(folder, 1, 3)
		Expect(storage.SetAside(folder)).To(Succeed())
		disk, _ := open(folder)
		Expect(disk.OpenResult()).To(Equal(storage.Fresh))
		kept, err := filepath.Glob(filepath.Join(root, "set-aside-*", "log-*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(kept).NotTo(BeEmpty())
	})
})
