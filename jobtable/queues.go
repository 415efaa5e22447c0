package jobtable

import "google.golang.org/protobuf/proto"

// Queue is what the operators' document says of the jobs of a queue. The number of
// attempts is not part of it: a job keeps the one under which it was accepted, because
// the ends of its runs have been counted against it.
type Queue struct {
	Service     string // whose targets run the jobs
	Priority    int32
	Stretch     float64
	AllowanceMS int64
}

// Queues are the queues in a version of the document, by name.
type Queues struct {
	Version uint64
	ByName  map[string]Queue
}

// QueuesVersion returns the version of the document that the jobs follow; 0: none.
func (t *Table) QueuesVersion() uint64 { return t.queues.Version }

// HasOpenJobs reports whether a job has not ended.
func (t *Table) HasOpenJobs() bool { return len(t.homes) > 0 }

// SetQueues lets the jobs that have not ended follow a newer document, and returns those
// that have changed. A job whose queue the document lacks stays as it is.
func (t *Table) SetQueues(queues Queues) []*Job {
	if queues.Version <= t.queues.Version {
		return nil
	}
	t.queues = queues
	var changed []*Job
	for _, j := range t.Jobs() {
		if !j.Ended() && t.followQueue(j) {
			changed = append(changed, j)
		}
	}
	return changed
}

// followQueue sets the fields of a job that its queue determines, unless they are from
// the same document or a newer one. It reports whether one has changed.
func (t *Table) followQueue(j *Job) bool {
	s := j.Submission
	q, found := t.queues.ByName[s.GetQueue()]
	if !found || s.GetDocumentVersion() >= t.queues.Version {
		return false
	}
	before := Queue{Service: s.Service, Priority: s.Priority, Stretch: s.Stretch, AllowanceMS: s.ObjectiveMs}
	s = proto.CloneOf(s) // the submission is part of a command
	s.DocumentVersion = t.queues.Version
	s.Service, s.Priority, s.Stretch, s.ObjectiveMs = q.Service, q.Priority, q.Stretch, q.AllowanceMS
	j.Submission = s
	return q != before
}
