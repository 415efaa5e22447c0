package lease

// CommandKind is the change that a command makes to an Agreement.
type CommandKind uint8

// Kinds of commands.
const (
	// CommandRenew extends the lease of a member.
	CommandRenew CommandKind = iota + 1
	// CommandJoin adds an instance to the members.
	CommandJoin
	// CommandLeave removes a member that has given up its lease, at its own request.
	CommandLeave
	// CommandExpire removes a member whose lease has ended, at the leader's request.
	CommandExpire
	// CommandForceRemove removes a member that, as an operator states, has been
	// stopped for longer than ExpiryDelay.
	CommandForceRemove
)

// Command is one entry of the voters' log.
type Command struct {
	Kind     CommandKind
	Instance string
	// Epoch is the epoch the command was made for. All kinds but CommandJoin are
	// refused in any other epoch.
	Epoch uint64
	// Settled, on CommandRenew and CommandLeave, states that the instance has
	// given up the partitions it does not own in Epoch and is bound by no
	// promise to an instance that is not a member in Epoch.
	Settled bool
	// Renewals, on CommandLeave and CommandExpire, is the member's count of
	// renewals that the command relies on. A renewal in between refuses it.
	Renewals uint64
	// Token, on CommandLeave, identifies the completed hand-over.
	Token uint64
}

// Result is the voters' answer to a command, from the state after it.
type Result struct {
	Granted bool
	// Confirmed is set if all members have settled in the epoch of View.
	Confirmed bool
	// Renewals is the instance's count of renewals, 0 if it is not a member.
	Renewals uint64
	View     View
}
