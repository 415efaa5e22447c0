package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

// handler returns the HTTP handler of the target protocol.
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+targetapi.PathAttempt, t.withAttempt(t.handleStart))
	mux.HandleFunc("GET "+targetapi.PathAttempt, t.withAttempt(t.respondWith(t.report)))
	mux.HandleFunc("POST "+targetapi.PathTombstone, t.withAttempt(t.respondWith(t.tombstone)))
	mux.HandleFunc("POST "+targetapi.PathCancel, t.withAttempt(t.respondWith(t.cancelAttempt)))
	return mux
}

// attemptHandler serves a request about one attempt of this incarnation.
type attemptHandler func(w http.ResponseWriter, r *http.Request, id structs.AttemptID)

// withAttempt rejects requests that are malformed or address another incarnation.
func (t *Target) withAttempt(next attemptHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t.unpaused.wait(r.Context()) != nil {
			return
		}
		id, err := structs.ParseAttemptID(r.PathValue("id"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		incarnation := r.Header.Get(targetapi.IncarnationHeader)
		if incarnation == "" {
			http.Error(w, "no "+targetapi.IncarnationHeader, http.StatusBadRequest)
			return
		}
		if incarnation != t.options.Incarnation {
			report := t.newAttempt(id, targetapi.AttemptRefused).report
			report.Cause = targetapi.CauseIncarnation
			t.writeReport(w, r, report)
			return
		}
		next(w, r, id)
	}
}

// respondWith serves a call that returns one report.
func (t *Target) respondWith(call func(structs.AttemptID) targetapi.AttemptReport) attemptHandler {
	return func(w http.ResponseWriter, r *http.Request, id structs.AttemptID) {
		t.writeReport(w, r, call(id))
	}
}

// writeReport sends a report with the matching HTTP status.
func (t *Target) writeReport(w http.ResponseWriter, r *http.Request, report targetapi.AttemptReport) {
	if t.unpaused.wait(r.Context()) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch report.State {
	case targetapi.AttemptRefused:
		w.WriteHeader(http.StatusConflict)
	case targetapi.AttemptUnknown:
		w.WriteHeader(http.StatusNotFound)
	}
	_ = json.NewEncoder(w).Encode(report) // the caller may have disconnected
}

// handleStart starts the attempt, or attaches to it, and streams its reports. The
// attempt continues if the caller disconnects.
func (t *Target) handleStart(w http.ResponseWriter, r *http.Request, id structs.AttemptID) {
	received := time.Now()
	req, err := readStartRequest(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.unpaused.wait(r.Context()) != nil {
		return
	}
	a := t.startAttempt(id, req, received)
	report := t.report(id)
	if a.isFinal() {
		t.writeReport(w, r, report)
		return
	}
	t.streamReports(w, r, a, report)
}

func readStartRequest(w http.ResponseWriter, r *http.Request) (targetapi.StartRequest, error) {
	var req targetapi.StartRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, structs.MaxBodyBytes))
	if err != nil {
		return req, errors.Annotate(err, "read start request")
	}
	return req, errors.Annotate(json.Unmarshal(body, &req), "decode start request")
}

// streamReports writes accepted, then running at every RunningInterval, then the final state.
func (t *Target) streamReports(w http.ResponseWriter, r *http.Request, a *attempt, first targetapi.AttemptReport) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	lines := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	ticker := time.NewTicker(structs.RunningInterval)
	defer ticker.Stop()
	report := first
	for {
		if t.unpaused.wait(r.Context()) != nil || lines.Encode(report) != nil {
			return
		}
		if report.State == targetapi.AttemptDone || report.State == targetapi.AttemptFailed {
			return // the server flushes the line together with the end of the stream
		}
		if flush() != nil {
			return
		}
		select {
		case <-a.ended:
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-t.stopped.Done():
			return
		}
		report = t.currentReport(a)
	}
}

// currentReport returns the attempt's report, with the state running if it has not ended.
func (t *Target) currentReport(a *attempt) targetapi.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.isRunning() {
		a.report.State = targetapi.AttemptRunning
	}
	return a.report
}
