package operatorapi

// DrainRequest is the body of POST /v1/drain. The instance reports
// not ready, finishes requests in flight, hands over its partitions and exits.
type DrainRequest struct {
	Operator string `json:"operator"`
}

// DrainReply answers POST /v1/drain at once with status 202. A repeated
// request reports the drain that is under way.
type DrainReply struct {
	Instance     string `json:"instance"`
	OpenRequests int    `json:"open_requests"`
	RunningTasks int    `json:"running_tasks"`
	TimeoutMS    int64  `json:"timeout_ms"`
}
