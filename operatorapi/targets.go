package operatorapi

import "hawthornshore.example/structs"

// Targets answers GET /v1/targets: the targets whose slots the answering
// instance manages or managed until recently.
type Targets struct {
	Instance string   `json:"instance"`
	Targets  []Target `json:"targets"` // ordered by target ID
}

// Target is the slot manager's view of a target.
type Target struct {
	structs.Announcement
	Manager   string `json:"manager"`
	FreeSlots int    `json:"free_slots"`
	// UnusableReason is the reason why the target gets no new work; empty if it does.
	UnusableReason string `json:"ejected,omitempty"`
}
