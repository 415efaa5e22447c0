package operatorapi

import "hawthornshore.example/structs"

// Config answers GET /v1/config: the configuration that the answering instance
// runs.
type Config struct {
	Instance string               `json:"instance"`
	Config   structs.SystemConfig `json:"config"`
	Change   Revision             `json:"change"` // the change that led to this version
}

// Revision identifies an applied change.
type Revision struct {
	Version       uint64 `json:"version"`
	OperationID   string `json:"operation_id"`
	Operator      string `json:"operator"`
	AppliedUnixMS int64  `json:"applied_unix_ms"`
}

// History answers GET /v1/config/history, newest first.
type History struct {
	Revisions []HistoryEntry `json:"revisions"`
}

// HistoryEntry is an applied change with what it changed.
type HistoryEntry struct {
	Revision
	Changes []Change `json:"changes"`
}
