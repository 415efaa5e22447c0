package operatorapi

import (
	"fmt"

	"hawthornshore.example/structs"
)

// MaxOperationIDLength bounds an operation ID, in bytes.
const MaxOperationIDLength = 128

// ApplyRequest is the body of PUT /v1/config. It replaces all classes and
// tenants if the version in force is ExpectedVersion. A resend with the same
// operation ID returns the first answer and changes nothing; the same operation
// ID with another body is rejected with an ErrorReply.
type ApplyRequest struct {
	ExpectedVersion uint64                    `json:"expected_version"`
	OperationID     string                    `json:"operation_id"`
	Operator        string                    `json:"operator"`
	Classes         map[string]structs.Class  `json:"classes"`
	Tenants         map[string]structs.Tenant `json:"tenants"`
}

// Check validates the operation ID and the operator. The classes and tenants
// are checked by settings.CheckSystem.
func (r *ApplyRequest) Check() error {
	if r.OperationID == "" || len(r.OperationID) > MaxOperationIDLength {
		return fmt.Errorf("operation_id must have 1 to %d bytes", MaxOperationIDLength)
	}
	if r.Operator == "" || len(r.Operator) > structs.MaxNameLength {
		return fmt.Errorf("operator must have 1 to %d bytes", structs.MaxNameLength)
	}
	return nil
}

// ApplyResult is the outcome of an ApplyRequest.
type ApplyResult string

const (
	// ApplyApplied is sent with status 200: the request's content is in force
	// under the answer's version.
	ApplyApplied ApplyResult = "applied"
	// ApplyConflict is sent with status 409: another change was applied first and
	// the request changed nothing.
	ApplyConflict ApplyResult = "conflict"
)

// ApplyReply answers PUT /v1/config. Any other failure is an ErrorReply, after
// which the request may be resent with the same operation ID.
type ApplyReply struct {
	Result  ApplyResult `json:"result"`
	Version uint64      `json:"version"` // the version in force after the request
	// Replayed is set if the answer is that of an earlier request with the same
	// operation ID.
	Replayed bool      `json:"replayed,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"` // only with ApplyConflict
}

// Conflict describes the changes applied since the expected version.
type Conflict struct {
	Winner Revision `json:"winner"` // the change that made the expected version outdated
	// Changes lead from the expected version to the version in force. They
	// are empty if the expected version was never in force or is no longer kept.
	Changes []Change `json:"changes,omitempty"`
}
