package structs

import "time"

const (
	// MaxTasks is the most tasks a job may have.
	MaxTasks = 150
	// MaxBodyBytes bounds the body of a submitted job, in bytes.
	MaxBodyBytes = 1 << 20
	// MaxNameLength bounds the names of tenants, classes, targets and data centres, in bytes.
	MaxNameLength = 64

	// ClockSkewTolerance is the largest clock difference between a caller and
	// an entry instance, or between two instances, under which job IDs are
	// trusted to carry their submission time.
	ClockSkewTolerance = 1 * time.Second
	// AnswerRetention is how long after its ID's time a job's claim and answer
	// are kept. Older IDs are answered OutcomeUnknown.
	AnswerRetention = 60 * time.Second

	// TargetHeartbeatInterval is how often a target repeats its announcement.
	TargetHeartbeatInterval = 1 * time.Second
	// TargetTimeout is how long a target gets new work after its last
	// announcement. A leaving target must get no new work after this time.
	TargetTimeout = 3 * time.Second
	// SlotLease is how long a slot that one instance lent to another may be
	// used to begin a start.
	SlotLease = 500 * time.Millisecond

	// StartAckTimeout is how long a start may go without acknowledgement
	// before it is resolved with the target on a new connection.
	StartAckTimeout = 250 * time.Millisecond
	// RunningInterval is how often a target reports that an attempt still runs.
	RunningInterval = 250 * time.Millisecond
	// ClaimCopyTimeout is how long an owner waits for the backup's
	// acknowledgement of a claim before it starts tasks without it.
	ClaimCopyTimeout = 20 * time.Millisecond

	// OwnerLease is how long an owner may act after a renewal began.
	OwnerLease = 3 * time.Second
	// OwnerRenewInterval is how often an owner renews its lease.
	OwnerRenewInterval = 1 * time.Second
	// Partitions is the number of partitions of the job IDs of one data centre.
	Partitions = 64

	// LinkHeartbeatInterval is how often each end of a link sends a heartbeat.
	LinkHeartbeatInterval = 500 * time.Millisecond
	// LinkTimeout is how long a link may receive nothing before it is closed.
	LinkTimeout = 2 * time.Second
)
