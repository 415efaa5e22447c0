package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/ingress"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

const (
	// operatorTimeout bounds an operator request.
	operatorTimeout = 8 * time.Second
	// maxApplyBytes bounds the body of an operator request.
	maxApplyBytes = 4 << 20
)

// operatorRoutes adds the operator API to the mux.
func (s *Server) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operatorapi.PathStatus, s.showStatus)
	mux.HandleFunc("GET "+operatorapi.PathMembers, s.showMembers)
	mux.HandleFunc("GET "+operatorapi.PathTargets, s.showTargets)
	mux.HandleFunc("GET "+operatorapi.PathClasses, s.showClasses)
	mux.HandleFunc("GET "+operatorapi.PathConfig, s.showConfig)
	mux.HandleFunc("GET "+operatorapi.PathHistory, s.showHistory)
	mux.HandleFunc("PUT "+operatorapi.PathConfig, s.authorized(s.putConfig))
	mux.HandleFunc("POST "+operatorapi.PathDrain, s.authorized(s.startDrain))
}

// errUnauthorized means that the client presented no operator certificate.
var errUnauthorized = errors.New("the request requires a client certificate of the operator authority")

// authorized serves only clients with an operator certificate, if the settings
// require one.
func (s *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	if !s.options.RequireOperatorCertificate {
		return next
	}
	return func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			err := &structs.StepError{Step: "authorize", Peer: r.RemoteAddr, Err: errUnauthorized}
			s.operatorError(w, http.StatusForbidden, "authorize", err)
			return
		}
		next(w, r)
	}
}

// operatorError logs a failed request and replies with the error.
func (s *Server) operatorError(w http.ResponseWriter, status int, step string, err error) {
	reply := operatorapi.ErrorReply{Instance: s.options.Name, Step: step, Message: err.Error()}
	var failed *structs.StepError
	if errors.As(err, &failed) {
		reply.Peer = failed.Peer
	}
	s.log.Warn().Str("event", "operator_call_failed").Str("step", step).Str("peer", reply.Peer).Err(err).Send()
	writeJSON(w, status, reply)
}

// inspect runs a function in the core loop and waits for it.
func (s *Server) inspect(ctx context.Context, inspectCores func(*claims.Core, *dispatch.Core)) error {
	done := make(chan struct{})
	err := s.coreLoop.post(ctx, input{inspect: func(c *claims.Core, d *dispatch.Core) {
		inspectCores(c, d)
		close(done)
	}})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) showStatus(w http.ResponseWriter, r *http.Request) {
	var classes []dispatch.ClassStatus
	err := s.inspect(r.Context(), func(_ *claims.Core, d *dispatch.Core) { classes = d.Classes() })
	if err != nil {
		s.operatorError(w, http.StatusServiceUnavailable, "inspect", err)
		return
	}
	status := operatorapi.Status{
		Instance:       s.options.Name,
		DataCentre:     s.options.DataCentre,
		Incarnation:    strconv.FormatUint(s.options.Incarnation, 10),
		State:          operatorapi.InstanceReady,
		NotReadyReason: s.notReadyReason(),
		ConfigVersion:  s.configVersion.Load(),
		StartedUnixMS:  s.started.UnixMilli(),
		ClockOffsetMS:  s.clockOffset.Load(),
		OpenRequests:   s.requests.open(),
	}
	switch {
	case s.shutdown.draining.Load():
		status.State = operatorapi.InstanceDraining
	case status.NotReadyReason != "":
		status.State = operatorapi.InstanceStarting
	}
	if ownership := s.ownership.Load(); ownership != nil {
		status.Partitions = ownership.Ready
	}
	if voter, ok := s.control.Status(); ok {
		status.Voter, status.Leader, status.Term = true, voter.Leader, voter.Term
	}
	for i := range classes {
		status.WaitingTasks += classes[i].Waiting
		status.RunningTasks += classes[i].Running
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) showMembers(w http.ResponseWriter, _ *http.Request) {
	members := operatorapi.Members{Instance: s.options.Name}
	own := Peer{Name: s.options.Name, DataCentre: s.options.DataCentre, Address: s.options.LinkListener.Addr().String()}
	for _, peer := range append([]Peer{own}, s.options.Peers...) {
		members.Members = append(members.Members, s.member(&peer))
	}
	slices.SortFunc(members.Members, func(a, b operatorapi.Member) int {
		return slices.Compare([]string{a.DataCentre, a.Instance}, []string{b.DataCentre, b.Instance})
	})
	writeJSON(w, http.StatusOK, members)
}

// member returns this instance's view of a member.
func (s *Server) member(peer *Peer) operatorapi.Member {
	member := operatorapi.Member{
		Instance:   peer.Name,
		DataCentre: peer.DataCentre,
		Link:       peer.Address,
		State:      s.directory.memberState(peer.Name),
		Role:       s.role(peer.Name),
		Agreed:     slices.Contains(s.directory.agreedMembers(peer.DataCentre), peer.Name),
	}
	if peer.Name == s.options.Name {
		member.Incarnation = strconv.FormatUint(s.options.Incarnation, 10)
		member.Draining = s.shutdown.draining.Load()
		member.ConfigVersion = s.configVersion.Load()
		return member
	}
	member.Incarnation = s.directory.incarnation(peer.Name)
	if last, ok := s.directory.lastHeartbeat(peer.Name); ok {
		member.Draining = last.message.GetDraining()
		member.ConfigVersion = last.message.GetConfigVersion()
		member.FreeSlots = int(last.message.GetFreeSlots())
		member.HeartbeatAgeMS = time.Since(last.receivedAt).Milliseconds()
	}
	return member
}

// role returns an instance's role in the Raft group. Voters use the Raft status,
// other instances only the settings.
func (s *Server) role(instance string) operatorapi.MemberRole {
	status, ok := s.control.Status()
	switch {
	case ok && status.Leader == instance:
		return operatorapi.RoleLeader
	case ok && slices.Contains(status.Learners, instance):
		return operatorapi.RoleLearner
	case ok && slices.Contains(status.Voters, instance), !ok && s.control.IsVoter(instance):
		return operatorapi.RoleVoter
	}
	return operatorapi.RoleNone
}

func (s *Server) showTargets(w http.ResponseWriter, r *http.Request) {
	reply := operatorapi.Targets{Instance: s.options.Name, Targets: []operatorapi.Target{}}
	err := s.inspect(r.Context(), func(_ *claims.Core, d *dispatch.Core) {
		for _, target := range d.Targets() {
			reply.Targets = append(reply.Targets, operatorapi.Target{
				Announcement:   target.Announcement,
				Manager:        s.options.Name,
				FreeSlots:      target.FreeSlots,
				UnusableReason: unusableReason(&target),
			})
		}
	})
	if err != nil {
		s.operatorError(w, http.StatusServiceUnavailable, "inspect", err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// unusableReason returns why a target gets no new work; empty if it does.
func unusableReason(target *dispatch.TargetStatus) string {
	switch {
	case target.Ejected:
		return "failing or slow"
	case target.Expired:
		return "no announcement"
	case target.Suspect:
		return "silent"
	case !target.Usable:
		return string(target.Announcement.State)
	}
	return ""
}

func (s *Server) showClasses(w http.ResponseWriter, r *http.Request) {
	reply := operatorapi.Classes{Instance: s.options.Name, Classes: []operatorapi.ClassLoad{}}
	err := s.inspect(r.Context(), func(_ *claims.Core, d *dispatch.Core) {
		for _, class := range d.Classes() {
			reply.Classes = append(reply.Classes, classLoad(&class))
		}
	})
	if err != nil {
		s.operatorError(w, http.StatusServiceUnavailable, "inspect", err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func classLoad(class *dispatch.ClassStatus) operatorapi.ClassLoad {
	load := operatorapi.ClassLoad{
		Class:          class.Class,
		BaselineSlots:  float64(class.Baseline),
		AllocatedSlots: float64(class.InUse),
		RunningTasks:   class.Running,
		WaitingTasks:   class.Waiting,
		RunP50MS:       int64(class.MedianMS),
		RunP99MS:       int64(class.LongestMS),
	}
	for _, tenant := range class.Tenants {
		load.Tenants = append(load.Tenants, operatorapi.TenantLoad{
			Tenant: tenant.Tenant, RunningTasks: tenant.Running, WaitingTasks: tenant.Waiting,
		})
	}
	return load
}

func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request) {
	reply := operatorapi.Config{Instance: s.options.Name, Config: s.options.Config}
	if !s.static {
		state := s.control.State()
		reply.Config, reply.Change = state.Config, state.Revision
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) showHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	history, err := s.control.History(ctx)
	if err != nil {
		s.operatorError(w, http.StatusServiceUnavailable, "read history", err)
		return
	}
	if limit, err := strconv.Atoi(r.URL.Query().Get(operatorapi.QueryLimit)); err == nil && limit >= 0 && limit < len(history.Revisions) {
		history.Revisions = history.Revisions[:limit]
	}
	writeJSON(w, http.StatusOK, history)
}

// errNoVoters means that the configuration is static because there are no voters.
var errNoVoters = errors.New("no instance is a voter: each instance uses the system configuration that it was started with")

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	var request operatorapi.ApplyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes)).Decode(&request); err != nil {
		s.operatorError(w, decodeStatus(err), "decode request", err)
		return
	}
	ingress.Release(r)
	if err := checkApply(&request); err != nil {
		s.operatorError(w, http.StatusBadRequest, "check configuration", err)
		return
	}
	if s.static {
		s.operatorError(w, http.StatusNotImplemented, "apply configuration", errNoVoters)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	answer, err := s.control.Apply(ctx, &request)
	if err != nil {
		s.operatorError(w, http.StatusServiceUnavailable, "apply configuration", err)
		return
	}
	s.answerApply(w, &request, answer)
}

// decodeStatus returns the status of the response to a body that cannot be read.
func decodeStatus(err error) int {
	if errors.Is(err, ingress.ErrOverloaded) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func checkApply(request *operatorapi.ApplyRequest) error {
	if err := request.Check(); err != nil {
		return err
	}
	return settings.CheckSystem(structs.SystemConfig{Classes: request.Classes, Tenants: request.Tenants})
}

func (s *Server) answerApply(w http.ResponseWriter, request *operatorapi.ApplyRequest, answer *sysstate.Answer) {
	reply := operatorapi.ApplyReply{Result: operatorapi.ApplyApplied, Version: answer.GetVersion(), Replayed: answer.GetRepeated()}
	switch answer.GetStatus() {
	case sysstate.Status_STATUS_OK:
		s.log.Info().Str("event", "config_applied").Uint64("version", reply.Version).
			Str("operator", request.Operator).Str("operation_id", request.OperationID).Bool("replayed", reply.Replayed).Send()
		writeJSON(w, http.StatusOK, reply)
	case sysstate.Status_STATUS_VERSION_CONFLICT:
		reply.Result = operatorapi.ApplyConflict
		reply.Conflict = s.control.Conflict(answer)
		s.log.Info().Str("event", "config_conflict").Uint64("version", reply.Version).
			Str("operator", request.Operator).Str("operation_id", request.OperationID).Send()
		writeJSON(w, http.StatusConflict, reply)
	default:
		s.operatorError(w, http.StatusBadRequest, "apply configuration", errors.New(answer.GetMessage()))
	}
}

// startDrain starts a graceful shutdown at an operator's request.
func (s *Server) startDrain(w http.ResponseWriter, r *http.Request) {
	var request operatorapi.DrainRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes)).Decode(&request); err != nil {
		s.operatorError(w, decodeStatus(err), "decode request", err)
		return
	}
	ingress.Release(r)
	s.log.Info().Str("event", "drain_requested").Str("operator", request.Operator).Send()
	s.requestDrain()
	writeJSON(w, http.StatusAccepted, operatorapi.DrainReply{
		Instance:     s.options.Name,
		OpenRequests: s.requests.open(),
		RunningTasks: s.attempts.open(),
		TimeoutMS:    s.options.DrainTimeout.Milliseconds(),
	})
}

// requestDrain makes Run drain and return.
func (s *Server) requestDrain() {
	s.shutdown.once.Do(func() { close(s.shutdown.requested) })
}
