package operatorapi

// DrainRequest is the body of POST /v1/drain. The instance that receives it
// reports not ready, finishes requests in flight, hands over and exits.
type DrainRequest struct {
	Operator string `json:"operator"`
	// TimeoutMS bounds the wait for requests in flight, in milliseconds; 0
	// selects the drain_timeout of the instance's settings.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
}

// DrainReply answers POST /v1/drain at once with status 202. A repeated
// request reports the drain that is under way.
type DrainReply struct {
	Instance     string `json:"instance"`
	OpenRequests int    `json:"open_requests"`
	RunningTasks int    `json:"running_tasks"`
	TimeoutMS    int64  `json:"timeout_ms"`
}
