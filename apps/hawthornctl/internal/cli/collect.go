package cli

import (
	"hawthornshore.example/apps/hawthornctl/internal/api"
)

// collect returns the values of the successful replies and the first error. It
// prints a warning for every further error.
func collect[T any](e *environment, replies []api.Reply[T]) ([]T, error) {
	values := []T{}
	var first error
	for _, reply := range replies {
		if reply.Err == nil {
			values = append(values, reply.Value)
			continue
		}
		if first == nil {
			first = reply.Err
			continue // the caller prints it
		}
		e.warn("%v", reply.Err)
	}
	return values, first
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
