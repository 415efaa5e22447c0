package server

import (
	"errors"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

var errBadJobID = errors.New("message has a malformed job ID")

func jobIDFromWire(data []byte) (structs.JobID, error) {
	var id structs.JobID
	if len(data) != len(id) {
		return id, errBadJobID
	}
	copy(id[:], data)
	return id, nil
}

func jobToWire(job *structs.Job, digest claims.Digest) *wire.JobRequest {
	tasks := make([]*wire.Task, len(job.Tasks))
	for i, task := range job.Tasks {
		tasks[i] = &wire.Task{
			Payload:       task.Payload,
			DeclaredMs:    task.DeclaredMS,
			DeclaredCores: task.DeclaredCores,
			DeclaredMb:    task.DeclaredMB,
			Idempotent:    task.Idempotent,
		}
	}
	return &wire.JobRequest{
		Action:         wire.JobAction_JOB_ACTION_SUBMIT,
		JobId:          job.ID[:],
		DataCentre:     job.DataCentre,
		Tenant:         job.Tenant,
		Class:          job.Class,
		DeadlineUnixMs: job.DeadlineUnixMS,
		Tasks:          tasks,
		Digest:         uint64(digest),
	}
}

func jobFromWire(request *wire.JobRequest) (structs.Job, error) {
	id, err := jobIDFromWire(request.GetJobId())
	if err != nil {
		return structs.Job{}, err
	}
	tasks := make([]structs.Task, len(request.GetTasks()))
	for i, task := range request.GetTasks() {
		tasks[i] = structs.Task{
			Payload:       task.GetPayload(),
			DeclaredMS:    task.GetDeclaredMs(),
			DeclaredCores: task.GetDeclaredCores(),
			DeclaredMB:    task.GetDeclaredMb(),
			Idempotent:    task.GetIdempotent(),
		}
	}
	return structs.Job{
		ID:             id,
		DataCentre:     request.GetDataCentre(),
		Tenant:         request.GetTenant(),
		Class:          request.GetClass(),
		DeadlineUnixMS: request.GetDeadlineUnixMs(),
		Tasks:          tasks,
	}, nil
}

func answerToWire(answer *structs.Answer) *wire.JobAnswer {
	results := make([]*wire.TaskResult, len(answer.Results))
	for i, result := range answer.Results {
		results[i] = &wire.TaskResult{
			Task:   int32(result.Task),
			Target: result.Target,
			Output: result.Output,
			RunMs:  result.RunMS,
		}
	}
	return &wire.JobAnswer{
		JobId:   answer.JobID[:],
		Outcome: string(answer.Outcome),
		Reason:  string(answer.Reason),
		Message: answer.Message,
		Results: results,
	}
}

func answerFromWire(message *wire.JobAnswer) (structs.Answer, error) {
	id, err := jobIDFromWire(message.GetJobId())
	if err != nil {
		return structs.Answer{}, err
	}
	answer := structs.Answer{
		JobID:   id,
		Outcome: structs.Outcome(message.GetOutcome()),
		Reason:  structs.Reason(message.GetReason()),
		Message: message.GetMessage(),
	}
	for _, result := range message.GetResults() {
		answer.Results = append(answer.Results, structs.TaskResult{
			Task:   int(result.GetTask()),
			Target: result.GetTarget(),
			Output: result.GetOutput(),
			RunMS:  result.GetRunMs(),
		})
	}
	return answer, nil
}

func copyToWire(c claims.Copy) *wire.ClaimCopy {
	message := &wire.ClaimCopy{
		JobId:          c.JobID[:],
		Digest:         uint64(c.Digest),
		DeadlineUnixMs: c.DeadlineUnixMS,
		Origin:         c.Origin,
		AnyDigest:      c.AnyDigest,
	}
	if c.Answer != nil {
		message.Answer = answerToWire(c.Answer)
	}
	return message
}

func copyFromWire(message *wire.ClaimCopy) (claims.Copy, error) {
	id, err := jobIDFromWire(message.GetJobId())
	if err != nil {
		return claims.Copy{}, err
	}
	c := claims.Copy{
		JobID:          id,
		Digest:         claims.Digest(message.GetDigest()),
		DeadlineUnixMS: message.GetDeadlineUnixMs(),
		Origin:         message.GetOrigin(),
		AnyDigest:      message.GetAnyDigest(),
	}
	if message.GetAnswer() != nil {
		answer, err := answerFromWire(message.GetAnswer())
		if err != nil {
			return claims.Copy{}, err
		}
		c.Answer = &answer
	}
	return c, nil
}

func announcementToWire(a *structs.Announcement) *wire.Announcement {
	return &wire.Announcement{
		TargetId:    a.TargetID,
		Incarnation: a.Incarnation,
		Address:     a.Address,
		Worker:      a.Worker,
		Rack:        a.Rack,
		DataCentre:  a.DataCentre,
		State:       string(a.State),
		Slots:       int32(a.Slots),
		Classes:     a.Classes,
		Cores:       a.Cores,
		Mb:          a.MB,
		Running:     int32(a.Running),
	}
}

func announcementFromWire(m *wire.Announcement) structs.Announcement {
	return structs.Announcement{
		TargetID:    m.GetTargetId(),
		Incarnation: m.GetIncarnation(),
		Address:     m.GetAddress(),
		Worker:      m.GetWorker(),
		Rack:        m.GetRack(),
		DataCentre:  m.GetDataCentre(),
		State:       structs.TargetState(m.GetState()),
		Slots:       int(m.GetSlots()),
		Classes:     m.GetClasses(),
		Cores:       m.GetCores(),
		MB:          m.GetMb(),
		Running:     int(m.GetRunning()),
	}
}

// loansToWire converts expiry times to remaining durations, so that the clocks of
// the two instances need not agree.
func loansToWire(now time.Time, e *dispatch.GrantSlots) *wire.SlotGrant {
	grant := &wire.SlotGrant{Class: e.Class}
	for _, loan := range e.Slots {
		grant.Slots = append(grant.Slots, &wire.SlotLoan{
			TargetId:    loan.Target.TargetID,
			Incarnation: loan.Target.Incarnation,
			Address:     loan.Target.Address,
			ValidMs:     loan.Expires.Sub(now).Milliseconds(),
			Cores:       loan.Cores,
			Mb:          loan.MB,
		})
	}
	return grant
}

func loansFromWire(now time.Time, grant *wire.SlotGrant) []dispatch.SlotLoan {
	loans := make([]dispatch.SlotLoan, len(grant.GetSlots()))
	for i, slot := range grant.GetSlots() {
		loans[i] = dispatch.SlotLoan{
			Target: structs.TargetRef{
				TargetID:    slot.GetTargetId(),
				Incarnation: slot.GetIncarnation(),
				Address:     slot.GetAddress(),
			},
			Expires: now.Add(time.Duration(slot.GetValidMs()) * time.Millisecond),
			Cores:   slot.GetCores(),
			MB:      slot.GetMb(),
		}
	}
	return loans
}
