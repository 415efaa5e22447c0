package cluster

import (
	"time"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

func ms(d time.Duration) int64 { return d.Milliseconds() }

func fromMS(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

func resourcesToWire(r placement.Resources) *wire.Resources {
	return &wire.Resources{CpuMillis: r.CPUMillis, MemoryMb: r.MemoryMB, Gpus: r.GPUs}
}

func resourcesFromWire(r *wire.Resources) placement.Resources {
	return placement.Resources{CPUMillis: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), GPUs: r.GetGpus()}
}

func jobToWire(ref uint64, j *placement.Job) *wire.Submission {
	s := &wire.Submission{
		Ref: ref, JobId: j.ID, Queue: j.Queue, Service: j.Service, Spec: j.Spec,
		Priority: int32(j.Priority), MaxAttempts: int32(j.MaxAttempts), Stretch: j.Stretch,
		ObjectiveMs: ms(j.Allowance), BudgetMs: ms(j.Budget), Stored: j.Stored, DocumentVersion: j.DocumentVersion,
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		w := &wire.JobStep{
			Count: int32(step.Count), Need: resourcesToWire(step.Need), ExpectedMs: ms(step.Expected),
			Requirement: step.Requirement, Rack: step.Rack, PerTarget: int32(step.PerTarget),
		}
		for _, earlier := range step.After {
			w.After = append(w.After, int32(earlier))
		}
		s.Steps = append(s.Steps, w)
	}
	return s
}

func jobFromWire(s *wire.Submission) placement.Job {
	j := placement.Job{
		ID: s.GetJobId(), Queue: s.GetQueue(), Service: s.GetService(), Spec: s.GetSpec(),
		Priority: int(s.GetPriority()), MaxAttempts: int(s.GetMaxAttempts()), Stretch: s.GetStretch(),
		Allowance: fromMS(s.GetObjectiveMs()), Budget: fromMS(s.GetBudgetMs()), Stored: s.GetStored(),
		DocumentVersion: s.GetDocumentVersion(),
	}
	for _, w := range s.GetSteps() {
		step := placement.Step{
			Count: int(w.GetCount()), Need: resourcesFromWire(w.GetNeed()), Expected: fromMS(w.GetExpectedMs()),
			Requirement: w.GetRequirement(), Rack: w.GetRack(), PerTarget: int(w.GetPerTarget()),
		}
		for _, earlier := range w.GetAfter() {
			step.After = append(step.After, int(earlier))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

func answerToWire(e *placement.AnswerJob) *wire.SubmissionAnswer {
	return &wire.SubmissionAnswer{
		Ref: e.Caller.Ref, Outcome: wire.JobOutcome(e.Outcome), Reason: e.Reason, RetryAfterMs: ms(e.RetryAfter),
	}
}

func placementsToWire(placements []placement.Placement) *wire.PlacementRequest {
	request := &wire.PlacementRequest{}
	for i := range placements {
		p := &placements[i]
		request.Placements = append(request.Placements, &wire.Placement{
			Ref: p.Ref, Task: p.Task, Run: int64(p.Run), Queue: p.Queue, Service: p.Service, Spec: p.Spec,
			Need: resourcesToWire(p.Need), ExpectedMs: ms(p.Expected), Requirement: p.Requirement,
			Rack: p.Rack, Target: p.Target, Avoid: p.Avoid, Stored: p.Stored,
			Alone: p.Alone, Suspect: p.Suspect, PerTarget: int32(p.PerTarget),
		})
	}
	return request
}

func placementsFromWire(request *wire.PlacementRequest) []placement.Placement {
	placements := make([]placement.Placement, 0, len(request.GetPlacements()))
	for _, p := range request.GetPlacements() {
		placements = append(placements, placement.Placement{
			Ref: p.GetRef(), Task: p.GetTask(), Run: int(p.GetRun()), Queue: p.GetQueue(), Service: p.GetService(),
			Spec: p.GetSpec(), Need: resourcesFromWire(p.GetNeed()), Expected: fromMS(p.GetExpectedMs()),
			Requirement: p.GetRequirement(), Rack: p.GetRack(), Target: p.GetTarget(), Avoid: p.GetAvoid(), Stored: p.GetStored(),
			Alone: p.GetAlone(), Suspect: p.GetSuspect(), PerTarget: int(p.GetPerTarget()),
		})
	}
	return placements
}

func reportsToWire(reports []placement.Report) *wire.PlacementReports {
	message := &wire.PlacementReports{}
	for i := range reports {
		r := &reports[i]
		message.Reports = append(message.Reports, &wire.PlacementReport{
			Ref: r.Ref, Event: wire.PlacementEvent(r.Kind), Target: r.Target, SafeAfterMs: ms(r.SafeAfter), Reason: r.Reason,
			Token: r.Token, Loss: targetLossToWire(r.Loss),
		})
	}
	return message
}

func reportsFromWire(message *wire.PlacementReports) []placement.Report {
	reports := make([]placement.Report, 0, len(message.GetReports()))
	for _, r := range message.GetReports() {
		reports = append(reports, placement.Report{
			Ref: r.GetRef(), Kind: placement.ReportKind(r.GetEvent()), Target: r.GetTarget(),
			SafeAfter: fromMS(r.GetSafeAfterMs()), Reason: r.GetReason(), Token: r.GetToken(),
			Loss: targetLossFromWire(r.GetLoss()),
		})
	}
	return reports
}

func availabilityToWire(targets []placement.AvailableTarget) []*wire.Room {
	message := make([]*wire.Room, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		message = append(message, &wire.Room{
			Target: t.Target, Service: t.Service, Labels: t.Labels, Free: resourcesToWire(t.Free),
			Suspect: t.Suspect, HasSuspect: t.HasSuspect, Idle: t.Idle, Cold: t.Cold, Address: t.Address, BornUnixMs: t.BootUnixMS, SpeedPermille: int64(t.SpeedPermille),
		})
	}
	return message
}

func availabilityFromWire(message []*wire.Room) []placement.AvailableTarget {
	targets := make([]placement.AvailableTarget, 0, len(message))
	for _, r := range message {
		targets = append(targets, placement.AvailableTarget{
			Target: r.GetTarget(), Service: r.GetService(), Labels: r.GetLabels(), Free: resourcesFromWire(r.GetFree()),
			Suspect: r.GetSuspect(), HasSuspect: r.GetHasSuspect(), Idle: r.GetIdle(), Cold: r.GetCold(), Address: r.GetAddress(), BootUnixMS: r.GetBornUnixMs(),
			SpeedPermille: int(r.GetSpeedPermille()),
		})
	}
	return targets
}

func descriptionToWire(d *placement.Description) *wire.TargetDescription {
	return &wire.TargetDescription{
		Id: d.ID, Service: d.Service, Address: d.Address, DataCentre: d.DataCentre, Labels: d.Labels,
		Capacity: resourcesToWire(d.Capacity), BornUnixMs: d.BootUnixMS, Sequence: d.Sequence,
		Draining: d.Draining, ClockMs: d.ClockMS, ColdMs: ms(d.Cold),
	}
}

func descriptionFromWire(d *wire.TargetDescription) placement.Description {
	return placement.Description{
		ID: d.GetId(), Service: d.GetService(), Address: d.GetAddress(), DataCentre: d.GetDataCentre(),
		Labels: d.GetLabels(), Capacity: resourcesFromWire(d.GetCapacity()), BootUnixMS: d.GetBornUnixMs(),
		Sequence: d.GetSequence(), Draining: d.GetDraining(), ClockMS: d.GetClockMs(), Cold: fromMS(d.GetColdMs()),
	}
}

func handOverToWire(h *placement.HandOver) *wire.TargetHandOver {
	message := &wire.TargetHandOver{Target: descriptionToWire(&h.Description), Token: h.Token, Seen: h.AckedEnd}
	for i := range h.Runs {
		r := &h.Runs[i]
		message.Runs = append(message.Runs, &wire.HandedRun{
			Home: r.Home, Ref: r.Ref, Task: r.Task, Run: int64(r.Run), Queue: r.Queue,
			Need: resourcesToWire(r.Need), ExpectedMs: ms(r.Expected), Stopping: r.Stopping, Stored: r.Stored, AgeMs: ms(r.Age),
			Alone: r.Alone, Exclusive: r.Exclusive,
		})
	}
	return message
}

func handOverFromWire(message *wire.TargetHandOver) placement.HandOver {
	h := placement.HandOver{
		Description: descriptionFromWire(message.GetTarget()), Token: message.GetToken(), AckedEnd: message.GetSeen(),
	}
	for _, r := range message.GetRuns() {
		h.Runs = append(h.Runs, placement.HandedRun{
			Home: r.GetHome(), Ref: r.GetRef(), Task: r.GetTask(), Run: int(r.GetRun()), Queue: r.GetQueue(),
			Need: resourcesFromWire(r.GetNeed()), Expected: fromMS(r.GetExpectedMs()), Stopping: r.GetStopping(),
			Stored: r.GetStored(), Age: fromMS(r.GetAgeMs()), Alone: r.GetAlone(), Exclusive: r.GetExclusive(),
		})
	}
	return h
}

func targetLossToWire(l *placement.TargetLoss) *wire.TargetLoss {
	if l == nil {
		return nil
	}
	return &wire.TargetLoss{
		Address: l.Address, BornUnixMs: l.BootUnixMS, Alone: l.Alone, Newest: l.Newest, Crashed: l.Crashed,
	}
}

func targetLossFromWire(l *wire.TargetLoss) *placement.TargetLoss {
	if l == nil {
		return nil
	}
	return &placement.TargetLoss{
		Address: l.GetAddress(), BootUnixMS: l.GetBornUnixMs(), Alone: l.GetAlone(), Newest: l.GetNewest(), Crashed: l.GetCrashed(),
	}
}

func runLossToWire(l *placement.RunLoss) *wire.RunLoss {
	if l == nil {
		return nil
	}
	return &wire.RunLoss{Run: int64(l.Run), Target: l.Target, Loss: targetLossToWire(&l.TargetLoss)}
}

func runLossFromWire(l *wire.RunLoss) placement.RunLoss {
	loss := placement.RunLoss{Run: int(l.GetRun()), Target: l.GetTarget()}
	if target := targetLossFromWire(l.GetLoss()); target != nil {
		loss.TargetLoss = *target
	}
	return loss
}
