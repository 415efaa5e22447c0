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

// handler returns the HTTP server of the target contract.
func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+targetapi.PathAttempt, t.addressed(t.handleStart))
	mux.HandleFunc("GET "+targetapi.PathAttempt, t.addressed(t.answer(t.report)))
	mux.HandleFunc("POST "+targetapi.PathTombstone, t.addressed(t.answer(t.tombstone)))
	mux.HandleFunc("POST "+targetapi.PathCancel, t.addressed(t.answer(t.stopAttempt)))
	return mux
}

// attemptHandler serves a request about one attempt of this incarnation.
type attemptHandler func(w http.ResponseWriter, r *http.Request, id structs.AttemptID)

// addressed refuses requests that are malformed or meant for another incarnation.
func (t *Target) addressed(next attemptHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t.frozen.pass(r.Context()) != nil {
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
			t.write(w, r, report)
			return
		}
		next(w, r, id)
	}
}

// answer serves a call that is answered with one report.
func (t *Target) answer(act func(structs.AttemptID) targetapi.AttemptReport) attemptHandler {
	return func(w http.ResponseWriter, r *http.Request, id structs.AttemptID) {
		t.write(w, r, act(id))
	}
}

// write sends a report with the status that goes with it.
func (t *Target) write(w http.ResponseWriter, r *http.Request, report targetapi.AttemptReport) {
	if t.frozen.pass(r.Context()) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch report.State {
	case targetapi.AttemptRefused:
		w.WriteHeader(http.StatusConflict)
	case targetapi.AttemptUnknown:
		w.WriteHeader(http.StatusNotFound)
	}
	_ = json.NewEncoder(w).Encode(report) // the caller may be gone
}

// handleStart starts the attempt, or attaches to it, and follows it. The
// attempt runs on when the caller goes away.
func (t *Target) handleStart(w http.ResponseWriter, r *http.Request, id structs.AttemptID) {
	received := time.Now()
	req, err := readStart(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.frozen.pass(r.Context()) != nil {
		return
	}
	a := t.begin(id, req, received)
	report := t.report(id)
	if a.isFinal() {
		t.write(w, r, report)
		return
	}
	t.follow(w, r, a, report)
}

func readStart(w http.ResponseWriter, r *http.Request) (targetapi.StartRequest, error) {
	var req targetapi.StartRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, structs.MaxBodyBytes))
	if err != nil {
		return req, errors.Annotate(err, "reading the start")
	}
	return req, errors.Annotate(json.Unmarshal(body, &req), "parsing the start")
}

// follow writes accepted, then running at every RunningInterval, then the end.
func (t *Target) follow(w http.ResponseWriter, r *http.Request, a *attempt, first targetapi.AttemptReport) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	lines := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	ticker := time.NewTicker(structs.RunningInterval)
	defer ticker.Stop()
	report := first
	for {
		if t.frozen.pass(r.Context()) != nil || lines.Encode(report) != nil {
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
		report = t.progress(a)
	}
}

// progress returns the attempt's report, with the state running if it has not ended.
func (t *Target) progress(a *attempt) targetapi.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.isRunning() {
		a.report.State = targetapi.AttemptRunning
	}
	return a.report
}
