package server

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// maxSeries bounds the number of label values, so that callers with arbitrary
// tenant names cannot exhaust the memory. Further values are counted as "other".
const maxSeries = 4096

// metrics are the instance's counters and histograms.
type metrics struct {
	set            *vm.Set
	starts         *vm.Counter
	attemptSilent  *vm.Counter
	reportMismatch *vm.Counter
	answerMismatch *vm.Counter
	claimUncopied  *vm.Counter
	forwardFailed  *vm.Counter
	sendFailed     *vm.Counter
	slotRequests   *vm.Counter
	epoch          *vm.Counter
	configVersion  *vm.Counter

	mu     sync.Mutex
	series map[string]bool
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:            set,
		starts:         set.NewCounter("hawthorn_starts_total"),
		attemptSilent:  set.NewCounter("hawthorn_attempts_silent_total"),
		reportMismatch: set.NewCounter("hawthorn_report_mismatches_total"),
		answerMismatch: set.NewCounter("hawthorn_answer_mismatches_total"),
		claimUncopied:  set.NewCounter("hawthorn_claims_uncopied_total"),
		forwardFailed:  set.NewCounter("hawthorn_forwards_failed_total"),
		sendFailed:     set.NewCounter("hawthorn_sends_failed_total"),
		slotRequests:   set.NewCounter("hawthorn_slot_requests_total"),
		epoch:          set.NewCounter("hawthorn_members_epoch"),
		configVersion:  set.NewCounter("hawthorn_config_version"),
		series:         make(map[string]bool),
	}
}

// addTraffic adds the byte counters of the links to other instances.
func (m *metrics) addTraffic(traffic *wire.Traffic) {
	m.set.NewGauge("hawthorn_link_sent_bytes_total", func() float64 { return float64(traffic.Sent()) })
	m.set.NewGauge("hawthorn_link_received_bytes_total", func() float64 { return float64(traffic.Received()) })
}

// serve writes the metrics in the text exposition format.
func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

// serveMetrics serves the metrics of the instance and of its clients.
func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	s.metrics.serve(w, r)
	if s.options.Clients != nil {
		s.options.Clients.WritePrometheus(w)
	}
}

// boundedLabel returns the label value, or "other" beyond maxSeries values.
func (m *metrics) boundedLabel(label, value string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := label + "=" + value
	if m.series[key] {
		return value
	}
	if len(m.series) >= maxSeries {
		return "other"
	}
	m.series[key] = true
	return value
}

// jobAnswered records the response time of a submission.
func (m *metrics) jobAnswered(job *structs.Job, answer *structs.Answer, took time.Duration) {
	class := m.boundedLabel("class", job.Class)
	tenant := m.boundedLabel("tenant", job.Tenant)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_job_seconds{class=%q,outcome=%q}`, class, answer.Outcome)).Update(took.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_tenant_job_seconds{tenant=%q}`, tenant)).Update(took.Seconds())
	if ideal := longestRun(answer); ideal > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_job_slowdown{class=%q}`, class)).Update(float64(took) / float64(ideal))
	}
}

// taskStarted records the delay from a job ID's time to the first start of a task.
func (m *metrics) taskStarted(class string, delay time.Duration) {
	class = m.boundedLabel("class", class)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_start_delay_seconds{class=%q}`, class)).Update(max(delay, 0).Seconds())
}

// wastedKind is the kind of a message that led to no start.
type wastedKind string

const (
	wastedGrant   wastedKind = "empty_grant"
	wastedLoan    wastedKind = "unused_loan"
	wastedStart   wastedKind = "refused_start"
	wastedResolve wastedKind = "resolve"
)

// countWasted counts a message that led to no start.
func (m *metrics) countWasted(kind wastedKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthorn_wasted_messages_total{kind=%q}`, kind)).Inc()
}

// longestRun returns the run time of the job's longest task.
func longestRun(answer *structs.Answer) time.Duration {
	var longest int64
	for i := range answer.Results {
		longest = max(longest, answer.Results[i].RunMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// jobFinished counts the outcomes of jobs that this instance owns.
func (m *metrics) jobFinished(answer *structs.Answer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthorn_jobs_finished_total{outcome=%q,reason=%q}`, answer.Outcome, answer.Reason)).Inc()
}

// badRequest counts a rejected request.
func (m *metrics) badRequest(reason structs.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hawthorn_bad_requests_total{reason=%q}`, reason)).Inc()
}
