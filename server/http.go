package server

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"hawthornshore.example/ingress"
	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
	"hawthornshore.example/wire"
)

// maxAnnouncementBytes bounds the body of a target's announcement.
const maxAnnouncementBytes = 64 << 10

// routes returns the handler for the HTTP listener.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", s.submitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", s.jobByID(wire.JobAction_JOB_ACTION_QUERY))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.jobByID(wire.JobAction_JOB_ACTION_CANCEL))
	mux.HandleFunc("POST "+targetapi.PathTargets, s.handleAnnouncement)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	s.operatorRoutes(mux)
	return mux
}

// ready serves the load balancer's readiness check.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why the instance is not ready; empty if it is. A restarted
// instance cannot distinguish new job IDs from those of its previous process, nor
// those of gained partitions from those of the previous owner. A member without
// partitions, which occurs by chance in a data centre of 16 instances, only
// forwards jobs; it is ready once it holds the lease.
func (s *Server) notReadyReason() string {
	ownership := s.ownership.Load()
	switch {
	case s.shutdown.draining.Load():
		return "draining"
	case s.configVersion.Load() == 0 && !s.static:
		return "waiting for the system configuration"
	case ownership == nil || ownership.Ready < ownership.Owned || ownership.Owned == 0 && !s.leaseHeld():
		return "waiting for the lease of the owned job IDs"
	case time.Now().Before(ownership.Horizon):
		return "waiting for the recovery horizon to pass"
	}
	return ""
}

// submitJob serves POST /v1/jobs.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	s.requests.add()
	defer s.requests.done()
	start := time.Now()
	job, digest, err := DecodeJob(http.MaxBytesReader(w, r.Body, structs.MaxBodyBytes))
	if errors.Is(err, ingress.ErrOverloaded) {
		rejectUnread(w, err)
		return
	}
	ingress.Release(r)
	if err != nil {
		s.rejectRequest(w, job.ID, err)
		return
	}
	req := &jobRequest{
		action:         wire.JobAction_JOB_ACTION_SUBMIT,
		job:            job,
		digest:         digest,
		answerDeadline: answerDeadline(wire.JobAction_JOB_ACTION_SUBMIT, &job),
	}
	answer := s.route(r.Context(), req)
	s.metrics.jobAnswered(&job, &answer, time.Since(start))
	writeAnswer(w, &answer)
}

// jobByID serves queries and cancellations.
func (s *Server) jobByID(action wire.JobAction) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.add()
		defer s.requests.done()
		ingress.Release(r) // a body has no meaning
		id, err := structs.ParseJobID(r.PathValue("id"))
		if err != nil {
			s.rejectRequest(w, id, err)
			return
		}
		job := structs.Job{ID: id, DataCentre: r.URL.Query().Get("data_centre")}
		if job.DataCentre == "" {
			s.rejectRequest(w, id, structs.BadRequest(structs.ReasonBadField, "the query parameter data_centre is missing"))
			return
		}
		answer := s.route(r.Context(), &jobRequest{action: action, job: job, answerDeadline: answerDeadline(action, &job)})
		writeAnswer(w, &answer)
	}
}

// rejectRequest rejects a request before it reaches an owner. Every instance
// rejects every copy of the body, so the outcome not-run is definite.
func (s *Server) rejectRequest(w http.ResponseWriter, id structs.JobID, err error) {
	answer := structs.Answer{JobID: id, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonMalformed, Message: err.Error()}
	var requestErr *structs.RequestError
	if errors.As(err, &requestErr) {
		answer.Reason = requestErr.Reason
		answer.Message = requestErr.Message
	}
	s.metrics.badRequest(answer.Reason)
	writeAnswer(w, &answer)
}

// rejectUnread refuses a request whose body was not read. It has no outcome: an earlier
// copy of the job may have run.
func rejectUnread(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeAnswer(w http.ResponseWriter, answer *structs.Answer) {
	writeJSON(w, answer.StatusCode(), answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// handleAnnouncement serves POST /v1/targets and forwards the announcement to the
// target's slot manager.
func (s *Server) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var announcement structs.Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	err := json.NewDecoder(body).Decode(&announcement)
	if errors.Is(err, ingress.ErrOverloaded) {
		rejectUnread(w, err)
		return
	}
	ingress.Release(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, targetapi.AnnounceReply{Instance: s.options.Name, Message: "malformed announcement: " + err.Error()})
		return
	}
	if err := s.checkAnnouncement(&announcement); err != nil {
		writeJSON(w, http.StatusBadRequest, targetapi.AnnounceReply{Instance: s.options.Name, Message: err.Error()})
		return
	}
	manager := s.directory.manager(announcement.TargetID)
	if err := s.forwardAnnouncement(manager, &announcement); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, targetapi.AnnounceReply{Instance: s.options.Name, Manager: manager, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, targetapi.AnnounceReply{Instance: s.options.Name, Manager: manager})
}

func (s *Server) checkAnnouncement(a *structs.Announcement) error {
	if a.TargetID == "" || a.Incarnation == "" || a.Address == "" || len(a.TargetID) > structs.MaxNameLength {
		return structs.BadRequest(structs.ReasonBadField, "target_id (1 to %d bytes), incarnation and address are required", structs.MaxNameLength)
	}
	if a.DataCentre != s.options.DataCentre {
		return structs.BadRequest(structs.ReasonUnknownHome, "target of data centre %q announced itself in %q", a.DataCentre, s.options.DataCentre)
	}
	switch a.State {
	case structs.TargetStarting, structs.TargetReady, structs.TargetLeaving:
	default:
		return structs.BadRequest(structs.ReasonBadField, "state %q is not starting, ready or leaving", a.State)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return structs.BadRequest(structs.ReasonBadField, "slots must be 1 to %d", maxSlots)
	}
	return nil
}

// maxSlots bounds the slots of one target.
const maxSlots = 4096
