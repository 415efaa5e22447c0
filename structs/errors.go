package structs

import (
	"fmt"
	"net/http"
)

// Reason is the stable, machine-readable cause of an outcome or a rejection.
type Reason string

// Reasons for rejecting a request before its job reaches the owner.
const (
	ReasonMalformed     Reason = "malformed_body"
	ReasonBodyTooLarge  Reason = "body_too_large"
	ReasonBadJobID      Reason = "bad_job_id"
	ReasonBadTaskCount  Reason = "bad_task_count"
	ReasonBadField      Reason = "bad_field"
	ReasonUnknownHome   Reason = "unknown_data_centre"
	ReasonBodyMismatch  Reason = "body_mismatch"
	ReasonUnknownTenant Reason = "unknown_tenant"
	ReasonUnknownClass  Reason = "unknown_class"
)

// Reasons in answers of a job's owner.
const (
	ReasonDeadlinePassed  Reason = "deadline_passed"
	ReasonFutureJobID     Reason = "job_id_from_future"
	ReasonExpiredJobID    Reason = "job_id_expired"
	ReasonHorizon         Reason = "before_recovery_horizon"
	ReasonQuota           Reason = "tenant_quota"
	ReasonQueueFull       Reason = "queue_full"
	ReasonNoCapacity      Reason = "no_capacity"
	ReasonWaitTooLong     Reason = "wait_exceeds_deadline"
	ReasonNeverFits       Reason = "fits_no_target"
	ReasonCancelled       Reason = "cancelled"
	ReasonTaskFailed      Reason = "task_failed"
	ReasonTargetLost      Reason = "target_lost"
	ReasonNoLease         Reason = "no_lease"
	ReasonOwnerLost       Reason = "owner_lost"
	ReasonHomeUnreachable Reason = "home_unreachable"
	ReasonDraining        Reason = "draining"
	ReasonClockSkew       Reason = "clock_skew"
)

// RequestError is the error for a rejected request, which no target has received.
type RequestError struct {
	Reason  Reason
	Message string
}

// BadRequest returns a RequestError with a formatted message.
func BadRequest(reason Reason, format string, args ...any) *RequestError {
	return &RequestError{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

func (e *RequestError) Error() string { return string(e.Reason) + ": " + e.Message }

// StepError adds to an error the step that failed and the peer involved.
type StepError struct {
	Step string
	Peer string // instance, target or client address; empty for local steps
	Err  error
}

func (e *StepError) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " peer=" + e.Peer + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Err }

// StatusCode returns the HTTP status of an answer.
func (a *Answer) StatusCode() int {
	switch a.Outcome {
	case OutcomeComplete, OutcomeFailed:
		return http.StatusOK
	case OutcomeUnknown:
		return a.unknownStatus()
	}
	switch a.Reason {
	case ReasonMalformed, ReasonBadJobID, ReasonBadTaskCount, ReasonBadField, ReasonUnknownTenant,
		ReasonUnknownClass, ReasonDeadlinePassed, ReasonFutureJobID, ReasonNeverFits:
		return http.StatusBadRequest
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonQuota, ReasonQueueFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// unknownStatus separates requests that the caller has to change from those
// whose outcome was lost.
func (a *Answer) unknownStatus() int {
	switch a.Reason {
	case ReasonBodyMismatch:
		return http.StatusConflict
	case ReasonExpiredJobID:
		return http.StatusGone
	case ReasonUnknownHome:
		return http.StatusBadRequest
	}
	return http.StatusGatewayTimeout
}
