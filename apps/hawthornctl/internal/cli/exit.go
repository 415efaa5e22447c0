package cli

import (
	"fmt"

	"github.com/juju/errors"

	"hawthornshore.example/apps/hawthornctl/internal/api"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

// ExitCode is the exit code of the program.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitError       ExitCode = 1 // any other error
	ExitUsage       ExitCode = 2
	ExitInvalid     ExitCode = 3
	ExitConflict    ExitCode = 4
	ExitNoAnswer    ExitCode = 5
	ExitRejected    ExitCode = 6
	ExitDiffers     ExitCode = 7
	ExitWaitTimeout ExitCode = 8
	ExitFailed      ExitCode = 10
	ExitNotRun      ExitCode = 11
	ExitUnknown     ExitCode = 12
)

// exitHelp documents the exit codes.
const exitHelp = `Exit codes:
   0  success
   1  any other error
   2  the command line is invalid
   3  a settings folder or a job file is invalid; every problem is printed
   4  config apply: another change was applied first; nothing was changed
   5  no valid answer from an instance; the call may or may not have been executed
   6  an instance rejected the call or failed to execute it
   7  config diff --exit-code found differences
   8  config apply --wait: applied, but not in force everywhere in time
  10  job outcome failed
  11  job outcome not-run: no task has started and none will
  12  job outcome unknown: it may have run`

// exitError is an error with a specific exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) ExitCode {
	var coded *exitError
	var problems settings.Problems
	var noAnswer *api.NoAnswerError
	var rejected *operatorapi.ErrorReply
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &noAnswer):
		return ExitNoAnswer
	case errors.As(err, &rejected):
		return ExitRejected
	}
	return ExitError
}

// outcomeCode returns the exit code for a job's outcome.
func outcomeCode(outcome structs.Outcome) ExitCode {
	switch outcome {
	case structs.OutcomeComplete:
		return ExitOK
	case structs.OutcomeFailed:
		return ExitFailed
	case structs.OutcomeNotRun:
		return ExitNotRun
	}
	return ExitUnknown
}
