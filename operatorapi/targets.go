package operatorapi

import "hawthornshore.example/structs"

// Targets answers GET /v1/targets: the targets whose slots the answering
// instance manages, or has managed until shortly before.
type Targets struct {
	Instance string   `json:"instance"`
	Targets  []Target `json:"targets"` // ordered by target ID
}

// Target is a target as its slot manager sees it.
type Target struct {
	structs.Announcement
	Manager   string `json:"manager"`
	FreeSlots int    `json:"free_slots"`
	// Ejected says why the target gets no new work; empty if it does.
	Ejected string `json:"ejected,omitempty"`
}
