package operatorapi

// ErrorReply is the response body of every failed call other than job calls and
// apply conflicts.
type ErrorReply struct {
	Instance string `json:"instance"`       // the instance that answers
	Step     string `json:"step"`           // the step that failed, such as "forward to leader"
	Peer     string `json:"peer,omitempty"` // the instance that the step called
	Message  string `json:"message"`

	// Status is the HTTP status of the answer. A status below 500 means that
	// the call was rejected and has changed nothing.
	Status int `json:"-"`
}

// Error returns the failed step with its peer and the message.
func (e *ErrorReply) Error() string {
	text := e.Step
	if e.Peer != "" {
		text += " peer=" + e.Peer
	}
	return "instance " + e.Instance + ": " + text + ": " + e.Message
}
