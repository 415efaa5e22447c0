package api

// NoAnswerError means that no usable answer arrived: the call may or may not have
// been carried out.
type NoAnswerError struct {
	Err error
}

func (e *NoAnswerError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NoAnswerError) Unwrap() error { return e.Err }
