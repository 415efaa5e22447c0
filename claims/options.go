package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// Options configures a Core.
type Options struct {
	Instance   string // name of this instance among the members
	DataCentre string // home of the jobs that this instance owns
	// Start is the time at which the instance started, from the clock that
	// Step is called with.
	Start time.Time
	// MaxRecords bounds the job IDs that are remembered; 0 is defaultMaxRecords.
	// A submission that finds the table full is answered unknown.
	MaxRecords int
	// MaxAnswerBytes bounds the task results that are kept for resubmissions,
	// in bytes; 0 is defaultMaxAnswerBytes. Beyond it the oldest results are
	// dropped and their jobs are answered unknown.
	MaxAnswerBytes int
}

const (
	// defaultMaxRecords covers 8,700 jobs/s over the retention time. A refusal
	// takes about 360 bytes, so that the table stays below 200 MB.
	defaultMaxRecords = 1 << 19
	// defaultMaxAnswerBytes is 32 MiB.
	defaultMaxAnswerBytes = 32 << 20
	// maxFutureRecords bounds the refusals of IDs from the future. They are
	// kept until the ID's time has passed, which may be years.
	maxFutureRecords = 10_000

	// horizonMargin is added to the time of a restart or takeover. The last
	// owner may have admitted IDs up to one tolerance ahead of its clock, and
	// its clock may have been one tolerance ahead of this instance's.
	horizonMargin = 2 * structs.ClockSkewTolerance

	// answerGrace is how long after a job's deadline its requests wait for the
	// dispatch core, which knows whether a task was started, before they are
	// answered unknown.
	answerGrace = 5 * time.Millisecond

	// transferBatch and transferInterval pace the transfer of records to a new
	// backup: about 25,000 records/s, so that claims of new jobs are not delayed.
	transferBatch    = 256
	transferInterval = 10 * time.Millisecond
)
