package api

// NoAnswerError means that no valid answer was received: the call may or may not
// have been executed.
type NoAnswerError struct {
	Err error
}

func (e *NoAnswerError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NoAnswerError) Unwrap() error { return e.Err }
