package api

// LostError means that no usable answer arrived: the call may or may not have
// been carried out.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Err }
