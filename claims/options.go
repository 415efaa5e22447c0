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
	// MaxRecords limits the stored job IDs; 0 means defaultMaxRecords. While
	// the table is full, new submissions are answered unknown.
	MaxRecords int
	// MaxAnswerBytes limits the task results stored for resubmissions, in
	// bytes; 0 means defaultMaxAnswerBytes. Beyond it the oldest results are
	// dropped and their jobs are answered unknown.
	MaxAnswerBytes int
}

const (
	// defaultMaxRecords covers 8,700 jobs/s over the retention time. A refusal
	// takes about 360 bytes, so that the table stays below 200 MB.
	defaultMaxRecords = 1 << 19
	// defaultMaxAnswerBytes is 32 MiB.
	defaultMaxAnswerBytes = 32 << 20
	// maxFutureRecords limits the stored refusals of IDs with a future
	// timestamp. They are kept until that time has passed, which may be years.
	maxFutureRecords = 10_000

	// horizonMargin is added to the time of a restart or takeover. The last
	// owner may have admitted IDs up to one tolerance ahead of its clock, and
	// its clock may have been one tolerance ahead of this instance's.
	horizonMargin = 2 * structs.ClockSkewTolerance

	// answerGrace is how long after a job's deadline its requests wait for the
	// answer of the dispatch core, which may prove that no task was started,
	// before they are answered unknown.
	answerGrace = 5 * time.Millisecond

	// transferBatch, in records, and transferInterval limit the transfer to a new
	// backup to about 25,000 records/s, so that claims of new jobs are not delayed.
	transferBatch    = 256
	transferInterval = 10 * time.Millisecond
)
