package cluster

import (
	"github.com/VictoriaMetrics/metrics"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

var (
	placementsRequested = metrics.GetOrCreateCounter("hawthorn_placement_requested_total")
	placementsRejected  = metrics.GetOrCreateCounter("hawthorn_placement_rejected_total")
)

// countRejections counts the placements of other coordinators that are rejected here for
// lack of free capacity.
func countRejections(reports []placement.Report) {
	for i := range reports {
		if reports[i].Kind == placement.RunRejected && reports[i].Reason == placement.ReasonNoRoom {
			placementsRejected.Inc()
		}
	}
}

// withPlacements returns a copy of an update, which several peers may get, that names
// the placements of one peer that it takes into account.
func withPlacements(update *wire.RoomUpdate, includedRef uint64, demand map[string]uint32) *wire.RoomUpdate {
	return &wire.RoomUpdate{
		Rooms: update.GetRooms(), Draining: update.GetDraining(), Partial: update.GetPartial(), Removed: update.GetRemoved(),
		IncludedRef: &includedRef, Demand: demand,
	}
}
