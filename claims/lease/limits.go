package lease

import (
	"time"

	"hawthornshore.example/structs"
)

const (
	// ExpiryDelay is how long others wait before they treat a lease as ended, and
	// how long a promise binds: the lease with 10% margin for clocks that run at
	// different speeds.
	ExpiryDelay = structs.OwnerLease + structs.OwnerLease/10

	// unconfirmedInterval replaces structs.OwnerRenewInterval while the epoch is not
	// confirmed (not all members have settled in it) or this instance is not settled,
	// so that gained partitions are used soon.
	unconfirmedInterval = 200 * time.Millisecond

	// maxRounds limits the renewal rounds whose answers count. Older rounds began
	// more than a lease ago, even at the shortest interval.
	maxRounds = 16
)
