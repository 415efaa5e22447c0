package operatorapi

// PathEvacuations is a path of a coordinator's metrics address on the users' platform.
const PathEvacuations = "/evacuations" // GET Evacuations

// Evacuations are the data centres that a coordinator knows to be evacuated.
type Evacuations struct {
	Evacuations []Evacuation `json:"evacuations"`
	// Confirmed is false while the coordinator cannot read the log to its end.
	Confirmed bool `json:"confirmed"`
}

// Evacuation is an evacuated data centre.
type Evacuation struct {
	DataCentre  string `json:"data_centre"`
	Revision    uint64 `json:"revision"`
	SinceUnixMS int64  `json:"since_unix_ms"`
}
