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

// writer produces Persist effects as a core does.
type writer struct {
	random   *rand.Rand
	sequence uint64
	hard     *consensus.HardState
	snapshot *consensus.Snapshot
	entries  []*consensus.Entry // after the snapshot
}

func newWriter(seed uint64) *writer {
	return &writer{random: rand.New(rand.NewPCG(seed, 5)), hard: &consensus.HardState{Term: 1}, snapshot: &consensus.Snapshot{}}
}

// restart continues from restored state in a term that is newer than all of
// its parts, as a core does.
func restart(w *writer, p consensus.PersistentState) *writer {
	next := &writer{random: w.random, snapshot: &consensus.Snapshot{}, entries: p.Entries}
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

func (w *writer) last() uint64 { return w.snapshot.Index + uint64(len(w.entries)) }

func (w *writer) next() consensus.Persist {
	w.sequence++
	p := consensus.Persist{Sequence: w.sequence}
	switch w.random.IntN(8) {
	case 0:
		p.Snapshot = w.ownSnapshot()
	case 1:
		p.Snapshot, p.Reset = w.foreignSnapshot(), true
	case 2, 3:
		w.cut()
		p.Entries = w.append()
	default:
		p.Entries = w.append()
	}
	if w.random.IntN(2) == 0 || p.Reset {
		w.hard = &consensus.HardState{Term: w.hard.Term, Vote: "a", Commit: w.hard.Commit}
		w.hard.Commit += uint64(w.random.IntN(int(w.last()-w.hard.Commit) + 1))
		p.Hard = w.hard
	}
	return p
}

func (w *writer) append() []*consensus.Entry {
	var added []*consensus.Entry
	for range 1 + w.random.IntN(4) {
		entry := &consensus.Entry{Index: w.last() + 1, Term: w.hard.Term, Data: make([]byte, w.random.IntN(60))}
		w.entries = append(w.entries[:len(w.entries):len(w.entries)], entry)
		added = append(added, entry)
	}
	return added
}

// cut removes uncommitted entries, as a new leader does.
func (w *writer) cut() {
	keep := w.hard.Commit - min(w.hard.Commit, w.snapshot.Index)
	keep += uint64(w.random.IntN(len(w.entries) - int(keep) + 1))
	w.entries = w.entries[:keep:keep]
	w.hard = &consensus.HardState{Term: w.hard.Term + 1, Commit: w.hard.Commit}
}

func (w *writer) ownSnapshot() *consensus.Snapshot {
	index := max(w.hard.Commit, w.snapshot.Index)
	if index == w.snapshot.Index {
		return nil
	}
	at := w.entries[index-w.snapshot.Index-1]
	w.entries = w.entries[index-w.snapshot.Index:]
	w.snapshot = &consensus.Snapshot{Index: index, Term: at.Term, Data: []byte("own")}
	return w.snapshot
}

func (w *writer) foreignSnapshot() *consensus.Snapshot {
	w.hard = &consensus.HardState{Term: w.hard.Term + 1, Commit: w.hard.Commit}
	index := w.hard.Commit + 1 + uint64(w.random.IntN(5))
	w.snapshot = &consensus.Snapshot{Index: index, Term: w.hard.Term, Data: []byte("foreign")}
	w.entries, w.hard.Commit = nil, index
	return w.snapshot
}

// state is what has to be found on the disk.
type state struct {
	hard, snapshot, entries string
}

func describe(hard *consensus.HardState, snapshot *consensus.Snapshot, entries []*consensus.Entry) state {
	s := state{snapshot: fmt.Sprint(snapshot.GetIndex(), snapshot.GetTerm())}
	if hard != nil {
		s.hard = fmt.Sprint(hard.Term, hard.Vote, hard.Commit)
	}
	for _, entry := range entries {
		s.entries += fmt.Sprint(entry.Index, ".", entry.Term, " ")
	}
	return s
}

// apply returns the states that a crash during the effects may leave.
func apply(from consensus.PersistentState, batch []consensus.Persist) []consensus.PersistentState {
	states := []consensus.PersistentState{from}
	now := from
	add := func() { states = append(states, now) }
	for _, p := range batch {
		if p.Snapshot != nil {
			now.Snapshot = p.Snapshot
			for len(now.Entries) > 0 && now.Entries[0].Index <= p.Snapshot.Index {
				now.Entries = now.Entries[1:]
			}
			if p.Reset {
				now.Entries = nil
			}
			add()
		}
		for _, entry := range p.Entries {
			keep := entry.Index - now.Snapshot.GetIndex() - 1
			now.Entries = append(now.Entries[:keep:keep], entry)
			add()
		}
		if p.Hard != nil {
			now.Hard = proto.CloneOf(p.Hard)
			add()
		}
	}
	return states
}

func open(fs storage.FileSystem) (*storage.Disk, consensus.PersistentState) {
	disk, persisted, err := storage.Open(storage.Options{FS: fs, Instance: "a", SegmentBytes: 400})
	Expect(err).NotTo(HaveOccurred())
	return disk, persisted
}

func fill(fs storage.FileSystem, seed uint64, batches int) *writer {
	disk, _ := open(fs)
	w := newWriter(seed)
	for range batches {
		Expect(disk.Save([]consensus.Persist{w.next(), w.next()})).To(Succeed())
	}
	Expect(disk.Close()).To(Succeed())
	return w
}

func found(p consensus.PersistentState) state { return describe(p.Hard, p.Snapshot, p.Entries) }

var _ = Describe("A disk", func() {
	It("holds every acknowledged effect after a crash at any operation", func() {
		for seed := range uint64(400) {
			fs, w := newFakeFS(seed), newWriter(seed)
			disk, known := open(fs)
			for round := 0; round < 6; round++ {
				fs.powerOff = fs.operations + fs.random.IntN(60)
				var possible []state
				for {
					batch := []consensus.Persist{w.next(), w.next(), w.next()}
					after := apply(known, batch)
					if disk.Save(batch) != nil {
						for _, s := range after {
							possible = append(possible, found(s))
						}
						break
					}
					known = after[len(after)-1]
				}
				Expect(disk.Save(nil)).To(MatchError(storage.ErrBroken))
				fs.crash()
				var restored consensus.PersistentState
				disk, restored = open(fs)
				if disk.OpenResult() != storage.Intact {
					Expect(known.Empty()).To(BeTrue(), "seed %d: the log was lost", seed)
					break
				}
				Expect(possible).To(ContainElement(found(restored)), "seed %d round %d", seed, round)
				known = restored
				w = restart(w, restored)
			}
		}
	})

	It("acknowledges nothing on a full disk and holds everything after the retry", func() {
		refused := 0
		for seed := range uint64(100) {
			fs, w := newFakeFS(seed), newWriter(seed)
			disk, _ := open(fs)
			fs.full = 0.2
			for range 20 {
				batch := []consensus.Persist{w.next(), w.next()}
				err := disk.Save(batch)
				for ; err != nil; err = disk.Save(batch) {
					Expect(err).To(MatchError(consensus.ErrDiskFull))
					full := new(storage.DiskFullError)
					Expect(errors.As(err, &full)).To(BeTrue())
					refused++
				}
			}
			fs.full = 0
			fs.crash()
			_, restored := open(fs)
			Expect(found(restored).entries).To(Equal(describe(nil, nil, w.entries).entries), "seed %d", seed)
			Expect(restored.Snapshot.GetIndex()).To(Equal(w.snapshot.Index))
		}
		Expect(refused).To(BeNumerically(">", 100))
	})

	It("reports a flipped bit with file and offset", func() {
		root := GinkgoT().TempDir()
		folder, err := storage.OpenFolder(root)
		Expect(err).NotTo(HaveOccurred())
		fill(folder, 1, 30)
		names, err := filepath.Glob(filepath.Join(root, "*.s*"))
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

	It("keeps two processes out of one folder", func() {
		folder, err := storage.OpenFolder(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		disk, _ := open(folder)
		_, _, err = storage.Open(storage.Options{FS: folder, Instance: "a"})
		locked := new(storage.LockedError)
		Expect(errors.As(err, &locked)).To(BeTrue())
		Expect(disk.Close()).To(Succeed())
		open(folder)
	})

	It("notices lost and foreign disks and gives them a new incarnation", func() {
		fs := newFakeFS(1)
		disk, _ := open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Fresh))
		first := disk.Incarnation()
		Expect(disk.Close()).To(Succeed())
		disk, _ = open(fs)
		Expect(disk.OpenResult()).To(Equal(storage.Fresh))
		Expect(disk.Incarnation()).To(Equal(first), "an unused disk keeps its identity")
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

	It("removes segments and snapshots that a newer snapshot replaces", func() {
		fs := newFakeFS(1)
		fill(fs, 4, 300)
		names, err := fs.List()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(names)).To(BeNumerically("<", 12), "%v", names)
	})

	It("can be set aside after corruption", func() {
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
