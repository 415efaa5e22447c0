package placement_test

import "hawthornshore.example/placement"

// benchmarkOptions are those of a coordinator on the users' platform.
func benchmarkOptions() placement.Options {
	return placement.Options{Name: "c0", Lease: simLease, StopTime: simStopTime, TargetSpeeds: true, QueueOrder: placement.CostOrder}
}
