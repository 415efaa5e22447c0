package operatorapi

import "hawthornshore.example/structs"

// Targets answers GET /v1/targets: the targets whose slots the answering
// instance manages, or all of its data centre if it gathers them.
type Targets struct {
	Instance string   `json:"instance"`
	Targets  []Target `json:"targets"` // ordered by target ID
}

// Target is a target as its slot manager sees it.
type Target struct {
	structs.Announcement
	Manager   string `json:"manager"`
	FreeSlots int    `json:"free_slots"`
	HeardMS   int64  `json:"heard_ms"` // time since the last announcement, in milliseconds
	// Ejected says why the target gets no new work; empty if it does.
	Ejected string `json:"ejected,omitempty"`
}
