package lease

import (
	"time"

	"hawthornshore.example/structs"
)

const (
	// ExpiryDelay is how long others wait before they treat a lease as ended, and how
	// long a promise binds: the lease with 10% margin for clocks that run at
	// different speeds.
	ExpiryDelay = structs.OwnerLease + structs.OwnerLease/10

	// unconfirmedInterval replaces structs.OwnerRenewInterval while members have
	// not all agreed to the epoch, so that gained partitions are used soon.
	unconfirmedInterval = 200 * time.Millisecond

	// maxRounds bounds the renewal rounds whose answers still count. Older
	// rounds began more than a lease ago at the shortest interval.
	maxRounds = 16
)
