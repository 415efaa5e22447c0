package cluster

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/cluster/evacuation"
	"hawthornshore.example/consensus"
	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// stateStore is the replicated state: the document with the highest version, the
// stored jobs and the evacuated data centres. It implements node.StateMachine.
type stateStore struct {
	mu       sync.RWMutex
	document Document
	// queuesOf returns the queues of a document, or false if it cannot be decoded.
	queuesOf func(Document) (jobtable.Queues, bool)
	// synced is the newest document that this coordinator still has after a restart
	// without a leader. Newer ones wait in unsynced, so that no effect of a document
	// is seen before and not after a restart.
	synced     Document
	syncDelay  time.Duration // of synced
	unsynced   []indexedDocument
	jobs       *jobtable.Table
	changed    map[string]bool // IDs of the jobs changed since takeChanged
	allChanged bool            // any job may have changed

	evacuations evacuation.Set
	// evacuationsChanged is set when the core may lack the newest set.
	evacuationsChanged atomic.Bool
	cancelled          []string // IDs of cancelled jobs that are not stored, since takeCancelled
}

// indexedDocument is a document with the index of its log entry.
type indexedDocument struct {
	index     uint64
	appliedAt time.Duration // boottimeNow
	Document
}

// newStateStore returns an empty state with a retention time for ended jobs.
func newStateStore(retention time.Duration, queuesOf func(Document) (jobtable.Queues, bool)) *stateStore {
	return &stateStore{jobs: jobtable.New(retention), changed: map[string]bool{}, queuesOf: queuesOf}
}

// currentDocument returns the document; its body must not be modified.
func (s *stateStore) currentDocument() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// evacuationState returns the state of a data centre.
func (s *stateStore) evacuationState(dataCentre string) evacuation.State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuations.Get(dataCentre)
}

// leaderEvacuations returns the states of all data centres for LogReadReply.
func (s *stateStore) leaderEvacuations() *wire.EvacuationStates {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &wire.EvacuationStates{States: s.evacuations.Snapshot()}
}

// mergedEvacuations returns the evacuations of the log, and those of another set that
// have higher revisions.
func (s *stateStore) mergedEvacuations(other *evacuation.Set) evacuation.Set {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return evacuation.Merge(&s.evacuations, other)
}

// syncedDocument returns the newest document that a restart does not take back; its
// body must not be modified.
func (s *stateStore) syncedDocument() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.synced
}

// documentSyncDelay returns how long the document of syncedDocument took to become
// durable after it was applied.
func (s *stateStore) documentSyncDelay() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.syncDelay
}

// commitSynced records that this coordinator starts with the entries up to index
// again after a restart, and reports whether a document has become the synced one.
func (s *stateStore) commitSynced(index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	published := false
	for len(s.unsynced) > 0 && s.unsynced[0].index <= index {
		s.synced = s.unsynced[0].Document
		s.syncDelay = boottimeNow() - s.unsynced[0].appliedAt
		s.unsynced = s.unsynced[1:]
		published = true
	}
	return published
}

// jobState returns the state of a stored job.
func (s *stateStore) jobState(id string) wire.StoredState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if j := s.jobs.Job(id); j != nil {
		return j.State
	}
	return wire.StoredState_STORED_STATE_NONE
}

// openJobsByHome returns the number of stored jobs that have not ended, by home.
func (s *stateStore) openJobsByHome() map[string]int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.Homes()
}

// coreJobs tells which jobs the core has.
type coreJobs interface {
	StoredJobs() []string
	HasJob(id string) bool
}

// openJobs returns the number of stored jobs of a home that have not ended.
func (s *stateStore) openJobs(home string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs.OpenJobs(home)
}

// takeChanged returns the stored jobs of a home, and others that the core has, that
// have changed since the last call. Each coordinator applies the changes of all
// homes, so those that mean nothing to the core are left out. After a restore, jobs
// of the core that the snapshot lacks are returned as ended.
func (s *stateStore) takeChanged(home string, core coreJobs) []placement.StoredJobChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allChanged {
		s.allChanged = false
		for _, j := range s.jobs.Jobs() {
			s.changed[j.ID] = true
		}
		for _, id := range core.StoredJobs() {
			s.changed[id] = true
		}
	}
	if len(s.changed) == 0 {
		return nil
	}
	changes := make([]placement.StoredJobChanged, 0, len(s.changed))
	for id := range s.changed {
		j := s.jobs.Job(id)
		if here := j != nil && !j.Ended() && j.Home == home; here || core.HasJob(id) {
			changes = append(changes, describeChange(id, j))
		}
	}
	clear(s.changed)
	return changes
}

// describeChange returns the change of a stored job; j is nil for a deleted job.
func describeChange(id string, j *jobtable.Job) placement.StoredJobChanged {
	if j == nil || j.Ended() {
		return placement.StoredJobChanged{Job: placement.Job{ID: id}, Ended: true}
	}
	change := placement.StoredJobChanged{Job: jobFromWire(j.Submission), Home: j.Home, Epoch: j.Epoch, RunLimit: j.RunLimit}
	for _, tasks := range j.Tasks {
		progress := make([]placement.TaskProgress, len(tasks))
		for i := range tasks {
			progress[i] = placement.TaskProgress{
				Done: tasks[i].Done(), Floor: tasks[i].Floor, Failures: len(tasks[i].Failed),
			}
			for _, run := range tasks[i].Failed {
				progress[i].LastFailed = max(progress[i].LastFailed, run)
			}
			for _, loss := range tasks[i].Losses {
				progress[i].Losses = append(progress[i].Losses, runLossFromWire(loss))
			}
		}
		change.Tasks = append(change.Tasks, progress)
	}
	return change
}

// Apply applies a command and returns an encoded LogAnswer.
func (s *stateStore) Apply(entry *consensus.Entry) ([]byte, error) {
	var command wire.LogCommand
	if err := proto.Unmarshal(entry.Data, &command); err != nil {
		return nil, errors.Annotate(err, "decode log entry")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := command.GetDocument(); d.GetVersion() > s.document.Version {
		s.document = Document{Version: d.GetVersion(), Body: d.GetBody()}
		s.unsynced = append(s.unsynced, indexedDocument{index: entry.Index, appliedAt: boottimeNow(), Document: s.document})
	}
	if s.jobs.HasOpenJobs() || s.acceptsUnderEarlierDocument(command.GetJobs()) {
		s.followDocument()
	}
	answer := &wire.LogAnswer{DocumentVersion: s.document.Version}
	if len(command.GetJobs()) > 0 {
		verdicts, changed := s.jobs.Apply(command.GetClockUnixMs(), command.GetJobs())
		answer.Verdicts = verdicts
		s.noteCancelled(command.GetJobs())
		for _, j := range changed {
			s.changed[j.ID] = true
		}
	}
	if order := command.GetEvacuation(); order != nil {
		answer.EvacuationApplied = s.evacuations.Apply(command.GetClockUnixMs(), order)
		s.evacuationsChanged.Store(true)
	}
	return proto.Marshal(answer)
}

// acceptsUnderEarlierDocument reports whether a job is accepted with the fields of a queue
// in an earlier document than the one in the log.
func (s *stateStore) acceptsUnderEarlierDocument(commands []*wire.JobCommand) bool {
	return slices.ContainsFunc(commands, func(command *wire.JobCommand) bool {
		job := command.GetAccept().GetJob()
		return job != nil && job.GetDocumentVersion() < s.document.Version
	})
}

// followDocument lets the stored jobs follow the document of the log. The document is
// decoded only while there are jobs; the result is the same on all coordinators, because
// it depends on the log alone. The caller holds the lock.
func (s *stateStore) followDocument() {
	if s.jobs.QueuesVersion() >= s.document.Version {
		return
	}
	queues, ok := s.queuesOf(s.document)
	if !ok {
		return
	}
	for _, j := range s.jobs.SetQueues(queues) {
		s.changed[j.ID] = true
	}
}

// Snapshot returns the encoded state.
func (s *stateStore) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := &wire.CoordinatorState{
		Document:    &wire.DocumentState{Version: s.document.Version, Body: s.document.Body},
		Evacuations: s.evacuations.Snapshot(),
	}
	s.jobs.Snapshot(state)
	return proto.Marshal(state)
}

// Restore replaces the state with an encoded one.
func (s *stateStore) Restore(data []byte) error {
	var state wire.CoordinatorState
	if err := proto.Unmarshal(data, &state); err != nil {
		return errors.Annotate(err, "decode snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = Document{Version: state.GetDocument().GetVersion(), Body: state.GetDocument().GetBody()}
	s.synced, s.syncDelay, s.unsynced = s.document, 0, nil // a snapshot is durable before it is applied
	s.allChanged = true
	s.evacuations.Restore(state.GetEvacuations())
	s.evacuationsChanged.Store(true)
	for _, record := range state.GetCancelled() {
		s.cancelled = append(s.cancelled, record.GetJobId())
	}
	if err := s.jobs.Restore(&state); err != nil {
		return errors.Annotate(err, "restore jobs")
	}
	if s.jobs.HasOpenJobs() { // an earlier version leaves the jobs of a snapshot as they were accepted
		s.followDocument()
	}
	return nil
}
