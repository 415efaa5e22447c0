package cluster

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// observeAnswer counts the answer to a caller and its latency.
func observeAnswer(queue string, outcome placement.Outcome, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_gateway_requests_total{queue=%q,outcome=%q}`, queue, outcome.String())).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_gateway_request_seconds{queue=%q}`, queue)).Update(took.Seconds())
}

// Labels of the orders' metrics.
const (
	kindStart = "start"
	kindStop  = "stop"
	kindPoll  = "look" // name in the metrics
)

// orderMetrics are the metrics of one kind of order.
type orderMetrics struct {
	seconds *metrics.Histogram
	results [placement.Refused + 1]*metrics.Counter
}

func newOrderMetrics(kind string) *orderMetrics {
	m := &orderMetrics{seconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`hawthorn_target_order_seconds{kind=%q}`, kind))}
	for result := range m.results {
		m.results[result] = metrics.GetOrCreateCounter(fmt.Sprintf(
			`hawthorn_target_orders_total{kind=%q,result=%q}`, kind, placement.Result(result).String()))
	}
	return m
}

func (m *orderMetrics) observe(start time.Time, response *placement.OrderResponse) {
	m.seconds.Update(time.Since(start).Seconds())
	m.results[response.Result].Inc()
}

// decisionCounter counts decisions by event.
func decisionCounter(event string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_placement_decisions_total{event=%q}`, event))
}

// refusalCounter counts refusals by reason. The reasons are constants of placement and
// queuepolicy.
func refusalCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_placement_refusals_total{reason=%q}`, reason))
}

// statusGauges publish the newest status of the core.
type statusGauges struct {
	jobs, queued, unserved, targets, usable, runs, freeMillis *metrics.Gauge
}

func newStatusGauges() statusGauges {
	gauge := func(name string) *metrics.Gauge { return metrics.GetOrCreateGauge(name, nil) }
	return statusGauges{
		jobs: gauge("hawthorn_placement_jobs"), queued: gauge("hawthorn_placement_queued_jobs"), targets: gauge("hawthorn_placement_targets"),
		unserved: gauge("hawthorn_placement_unserved_jobs"),
		usable:   gauge("hawthorn_placement_usable_targets"), runs: gauge("hawthorn_placement_runs"), freeMillis: gauge("hawthorn_placement_free_cpu_millis"),
	}
}

func (g *statusGauges) set(s *placement.Status) {
	g.jobs.Set(float64(s.Jobs))
	g.queued.Set(float64(s.Queued))
	g.unserved.Set(float64(s.Unserved))
	g.targets.Set(float64(s.Targets))
	g.usable.Set(float64(s.Usable))
	g.runs.Set(float64(s.Runs))
	g.freeMillis.Set(float64(s.FreeCPUMillis))
}

// logReadAge is the age of the newest read of the log to its end.
var logReadAge = metrics.GetOrCreateGauge("hawthorn_log_read_age_seconds", nil)

// evacuatedDataCentres is the number of evacuated data centres, as the core has it.
var evacuatedDataCentres = metrics.GetOrCreateGauge("hawthorn_evacuated_data_centres", nil)

// evacuationOrderCounter counts orders to evacuate data centres by outcome.
func evacuationOrderCounter(outcome evacuationOutcome) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_evacuation_orders_total{outcome=%q}`, string(outcome)))
}

// documentBytesSent and documentBytesReceived count the bytes of documents on the links
// between coordinators and gateways.
var (
	documentBytesSent     = metrics.GetOrCreateCounter(`hawthorn_document_bytes_total{direction="sent"}`)
	documentBytesReceived = metrics.GetOrCreateCounter(`hawthorn_document_bytes_total{direction="received"}`)
)

// observeDocument records an adopted document, and for how long this process has known
// that it lacked one.
func observeDocument(version uint64, lag time.Duration) {
	metrics.GetOrCreateGauge("hawthorn_document_version", nil).Set(float64(version))
	metrics.GetOrCreateHistogram("hawthorn_document_lag_seconds").Update(lag.Seconds())
}

// registerTraffic publishes the bytes on the links of a process.
func registerTraffic(traffic *wire.Traffic) {
	metrics.GetOrCreateGauge(`hawthorn_link_bytes_total{direction="sent"}`, func() float64 { return float64(traffic.Sent()) })
	metrics.GetOrCreateGauge(`hawthorn_link_bytes_total{direction="received"}`, func() float64 { return float64(traffic.Received()) })
}

// storedRefusals counts the stored jobs that admission refused, by reason.
func storedRefusals(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`hawthorn_stored_jobs_refused_total{reason=%q}`, reason))
}
